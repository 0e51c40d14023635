package proxy

import (
	"context"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

// announceLease tells the core at once that the lease has changed.
func (s *subscription) announceLease(ctx context.Context) {
	s.mu.Lock()
	addr := s.sourceAddr
	s.mu.Unlock()
	if addr != "" {
		go s.pull(ctx, addr, 0)
	}
}

// releaseLease gives the lease back.
func (s *subscription) releaseLease(ctx context.Context) {
	s.mu.Lock()
	addr := s.sourceAddr
	s.leaseReleased = true
	s.mu.Unlock()
	if addr == "" {
		return
	}
	request := s.newPullRequest(addr, 0)
	request.Ended = true
	if body, err := easyjson.Marshal(request); err == nil {
		ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_ = rpc.Post(ctx, s.client, addr, message.PullPath, body, nil)
	}
}

// reportInFlight answers a census of the core: what is out at appliances that leave, and what traffic is carried.
func (s *subscription) reportInFlight(addr string, surveyID uint64) {
	report := &message.InFlightReport{From: message.Member{Node: s.proxy.settings.Node, Zone: s.proxy.settings.Zone}, SurveyID: surveyID}
	s.proxy.mu.Lock()
	report.Rows, report.Loads, report.DrainVersions = s.proxy.balancer.InFlightReport(time.Now())
	s.proxy.mu.Unlock()
	body, err := easyjson.Marshal(report)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = rpc.Post(ctx, s.client, addr, message.InFlightReportPath, body, nil) // one that is lost is told as unheard
}

// reportTallies tells this relay's counts of releases, where they have changed.
func (s *subscription) reportTallies(ctx context.Context) {
	s.proxy.mu.Lock()
	tallies := s.proxy.balancer.Tallies(s.incarnation, time.Now())
	s.proxy.mu.Unlock()
	if len(tallies) == 0 {
		return
	}
	s.mu.Lock()
	addr := s.sourceAddr
	update := &message.PullResponse{}
	for service, tally := range tallies {
		s.tallyVersion++
		item := tally.Item(service, s.tallyVersion)
		if s.reportedTallies[service] != item.Body {
			s.reportedTallies[service] = item.Body
			update.Items = append(update.Items, item)
		}
	}
	s.mu.Unlock()
	if addr == "" || len(update.Items) == 0 {
		return
	}
	body, err := easyjson.Marshal(update)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if rpc.Post(ctx, s.client, addr, message.TallyPath, body, nil) != nil {
		s.mu.Lock()
		clear(s.reportedTallies)
		s.mu.Unlock()
	}
}
