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

// announceLease pulls at once, without waiting for the result, so that the controllers learn that the lease has
// changed.
func (s *subscription) announceLease(ctx context.Context) {
	if addr := s.source(); addr != "" {
		go func() { _, _ = s.pull(ctx, addr, 0) }() // if it fails the next pull says the same
	}
}

// releaseLease ends the lease at the controllers. No pull renews it from then on.
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
	_ = rpc.Post(ctx, s.client, addr, message.PullPath, body, nil) // if it fails the lease expires
}

// source returns the controller that was pulled from last, or "".
func (s *subscription) source() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sourceAddr
}

// reportInFlight answers an in-flight survey of the controller at addr: the requests in flight at draining backends and
// the load of each service.
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
	_ = rpc.Post(ctx, s.client, addr, message.InFlightReportPath, body, nil) // the survey names a lost report as missing
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

// changedTallies returns the tallies that differ from those last reported, as items, and notes them as reported.
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
