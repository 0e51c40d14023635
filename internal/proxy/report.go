package proxy

import (
	"context"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

const (
	reportTimeout  = time.Second
	releaseTimeout = 300 * time.Millisecond
)

// announceLease starts a pull immediately, without waiting for its result, to inform the controllers that the
// membership lease has changed.
func (s *subscription) announceLease(ctx context.Context) {
	if addr := s.source(); addr != "" {
		go func() { _, _ = s.pull(ctx, addr, 0) }() // on failure the next pull sends the same lease
	}
}

// releaseLease ends the membership lease and prevents further pulls from renewing it.
func (s *subscription) releaseLease(ctx context.Context) {
	s.mu.Lock()
	addr := s.sourceAddr
	s.leaseReleased = true
	s.mu.Unlock()
	if addr == "" {
		return
	}
	request, _ := s.newPullRequest(addr, 0)
	request.Ended = true
	body, err := easyjson.Marshal(request)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_ = rpc.Post(ctx, s.client, addr, message.PullPath, body, nil) // on failure the lease expires
}

// source returns the address of the controller that responded last, or "" if there is none.
func (s *subscription) source() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sourceAddr
}

// reportInFlight answers an in-flight survey of the controller at addr with the requests in flight at draining backends
// and the load of each service.
func (s *subscription) reportInFlight(addr string, surveyID uint64) {
	report := &message.InFlightReport{From: s.member(), SurveyID: surveyID}
	s.proxy.mu.Lock()
	observed := s.proxy.balancer.InFlightReport(time.Now())
	s.proxy.mu.Unlock()
	report.Backends = observed.Backends
	report.Loads = observed.Loads
	report.DrainVersions = observed.DrainVersions
	body, err := easyjson.Marshal(report)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_ = rpc.Post(ctx, s.client, addr, message.InFlightReportPath, body, nil) // the survey lists a lost report as missing
}

// reportTallies reports the release tallies of this proxy that have changed since the last report.
func (s *subscription) reportTallies(ctx context.Context) {
	s.proxy.mu.Lock()
	tallies := s.proxy.balancer.Tallies(s.incarnation, time.Now())
	s.proxy.mu.Unlock()
	if len(tallies) == 0 {
		return
	}
	addr := s.source()
	update := &message.PullResponse{Items: s.changedTallies(tallies)}
	if addr == "" || len(update.Items) == 0 {
		return
	}
	body, err := easyjson.Marshal(update)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if rpc.Post(ctx, s.client, addr, message.TallyPath, body, nil) != nil {
		s.mu.Lock()
		clear(s.reportedTallies) // the next report repeats them
		s.mu.Unlock()
	}
}

// changedTallies returns, as items, the tallies that differ from those last reported, and marks them as reported.
func (s *subscription) changedTallies(tallies map[string]*replication.ReleaseTally) []replication.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []replication.Item
	for service, tally := range tallies {
		s.tallyVersion++
		item := tally.Item(service, s.tallyVersion)
		if s.reportedTallies[service] != item.Body {
			s.reportedTallies[service] = item.Body
			changed = append(changed, item)
		}
	}
	return changed
}
