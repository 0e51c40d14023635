package replica

import (
	"slices"
	"testing"
	"time"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// surveyPull makes a proxy that is up to date pull from a replica. answeredID is the ID of the last survey that the
// proxy has answered.
func surveyPull(r *Replica, now time.Time, node string, answeredID uint64) *PendingPull {
	return r.HandlePull(now, &message.PullRequest{
		From:            message.Member{Node: node, Zone: "z0"},
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		Progress:        r.items.Vector(),
		WaitMs:          900,
		ListenerAddr:    node,
		Incarnation:     7,
		SurveyID:        answeredID,
	})
}

// checkMissing checks which of the proxies e7 and e8 the survey's result lists as missing.
func checkMissing(t *testing.T, r *Replica, when string, wantE7, wantE8 bool) {
	t.Helper()
	missing := r.SurveyResult().Missing
	if slices.Contains(missing, "e7") != wantE7 || slices.Contains(missing, "e8") != wantE8 {
		t.Errorf("missing proxies %s: %v", when, missing)
	}
}

// startSurvey makes proxies e7 and e8 pull from the replica and starts a survey. It checks that proxies are asked for a
// report only during a survey, immediately, and not again after their answer. It returns the survey's ID.
func startSurvey(t *testing.T, r *Replica, now time.Time) uint64 {
	t.Helper()
	surveyPull(r, now, "e7", 0)
	surveyPull(r, now, "e8", 0)
	pending := surveyPull(r, now, "e7", 0)
	if response, ready := r.AnswerPull(now, pending); ready && response.SurveyID != 0 {
		t.Fatal("a proxy is asked for a report without a survey")
	}

	r.TakeOutput()
	r.StartInFlightSurvey(now)
	if r.TakeOutput().NotifyAfter != 0 {
		t.Error("pending pulls are not answered immediately")
	}
	response, ready := r.AnswerPull(now, pending)
	if !ready || response.SurveyID == 0 {
		t.Fatalf("a proxy with a pending pull is not asked for a report: %+v", response)
	}
	surveyID := response.SurveyID
	if _, ready := r.AnswerPull(now, surveyPull(r, now, "e7", surveyID)); ready {
		t.Error("a proxy that has answered is asked for a report again")
	}
	return surveyID
}

// Every proxy with a lease from the replica answers a survey once, and the result lists those that have not answered as
// missing. A new survey replaces the previous one. Without a survey, no proxy is asked for a report.
func TestInFlightSurvey(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	r, now := sim.nodes[0].replica, sim.nodes[0].clock()
	surveyID := startSurvey(t, r, now)
	checkMissing(t, r, "before any report", true, true)

	r.RecordInFlightReport(&message.InFlightReport{
		From:     message.Member{Node: "e7", Zone: "z0"},
		SurveyID: surveyID,
		Backends: []replication.BackendInFlight{{BackendID: "i1", Idempotent: 1, NonIdempotent: 2}},
		Loads:    []drain.ServiceLoad{{Service: "s", RequestsPerSecond: 3, ServiceSeconds: 1}},
	})
	r.RecordInFlightReport(&message.InFlightReport{ // for an earlier survey
		From:     message.Member{Node: "e8", Zone: "z0"},
		SurveyID: surveyID - 1,
	})
	checkMissing(t, r, "after a report of e7", false, true)
	reports, loads := r.SurveyResult().ProgressReports()
	want := drain.InFlightCounts{Idempotent: 1, NonIdempotent: 2}
	if len(reports) != 1 || reports[0].InFlight["i1"] != want || len(loads) != 1 {
		t.Errorf("reports %+v, loads %+v", reports, loads)
	}

	before := r.SurveyResult().Missing
	r.StartInFlightSurvey(now.Add(surveySharePeriod / 2))
	if !slices.Equal(r.SurveyResult().Missing, before) {
		t.Error("two callers within surveySharePeriod don't share a survey")
	}
	later := now.Add(2 * surveySharePeriod)
	r.StartInFlightSurvey(later)
	if !slices.Contains(r.SurveyResult().Missing, "e7") {
		t.Error("a report for the previous survey counts for the next one")
	}
	if r.activeSurvey(later) <= surveyID {
		t.Error("the ID of the next survey is not greater than the previous one")
	}
	if r.activeSurvey(later.Add(surveyPeriod+1)) != 0 {
		t.Error("proxies are still asked for a report after surveyPeriod")
	}
}

// RecentProxies includes a proxy until the proxy itself ends its lease.
func TestRecentProxies(t *testing.T) {
	sim := newFaultFreeSimulation(6, 2, 35*time.Millisecond, 5*time.Millisecond)
	r, now := sim.nodes[0].replica, sim.nodes[0].clock()
	surveyPull(r, now, "e7", 0)
	surveyPull(r, now, "e8", 0)
	if got := r.RecentProxies(now); !slices.Contains(got, "e7") {
		t.Errorf("recent proxies: %v", got)
	}
	r.HandlePull(now, &message.PullRequest{
		From:            message.Member{Node: "e7", Zone: "z0"},
		Role:            message.RoleProxy,
		ProtocolVersion: message.ProtocolVersion,
		Incarnation:     7,
		Ended:           true,
	})
	if got := r.RecentProxies(now); slices.Contains(got, "e7") || !slices.Contains(got, "e8") {
		t.Errorf("after e7 has ended its lease: %v", got)
	}
}
