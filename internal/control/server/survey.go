package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

const (
	// surveyTimeout bounds how long proxies may take to report their requests in flight. It allows for one request
	// within the zone and two between regions.
	surveyTimeout = 500 * time.Millisecond

	// surveyAllTimeout bounds a survey by all members, so that a member that hangs does not delay the response to the
	// operator.
	surveyAllTimeout = surveyTimeout + callTimeout/2

	// surveyPollInterval is the interval at which a survey checks whether all proxies have reported.
	surveyPollInterval = 10 * time.Millisecond
)

// systemSurvey contains the reports of the proxies of all members.
type systemSurvey struct {
	message.InFlightSurvey
	unresponsive []string // proxies that may have requests in flight and have not reported
}

// surveyLocal asks the proxies that hold a lease from this controller for their requests in flight. It returns when all
// have reported, or after surveyTimeout.
func (s *Server) surveyLocal(ctx context.Context) message.InFlightSurvey {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	s.step(s.replica.StartInFlightSurvey)
	survey := message.InFlightSurvey{}
	poll(ctx, surveyPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		survey = s.replica.SurveyResult()
		return len(survey.Missing) == 0
	})
	return survey
}

// surveyAll asks every member to survey its proxies. Members that don't respond in time are skipped.
func (s *Server) surveyAll(ctx context.Context) systemSurvey {
	ctx, cancel := context.WithTimeout(ctx, surveyAllTimeout)
	defer cancel()
	s.mu.Lock()
	members := s.replica.OtherMembers()
	s.mu.Unlock()
	surveys := make(chan message.InFlightSurvey, len(members)+1)
	var requests sync.WaitGroup
	for _, member := range members {
		requests.Go(func() {
			survey := message.InFlightSurvey{}
			if rpc.Post(ctx, s.peerClient, member.Addr, message.InFlightSurveyPath, []byte("{}"), &survey) == nil {
				surveys <- survey
			}
		})
	}
	surveys <- s.surveyLocal(ctx)
	requests.Wait()
	close(surveys)
	all := systemSurvey{}
	for survey := range surveys {
		all.Reports = append(all.Reports, survey.Reports...)
	}
	all.unresponsive = s.missingProxies(all.Reports)
	return all
}

// missingProxies returns the proxies that may have requests in flight and have not reported.
func (s *Server) missingProxies(reports []message.InFlightReport) []string {
	s.mu.Lock()
	proxies := s.replica.RecentProxies(s.now())
	s.mu.Unlock()
	var missing []string
	for _, node := range proxies {
		reported := slices.ContainsFunc(reports, func(r message.InFlightReport) bool { return r.From.Node == node })
		if !reported {
			missing = append(missing, node)
		}
	}
	return missing
}
