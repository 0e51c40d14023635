package replica

import (
	"slices"
	"testing"
	"time"

	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
	"sagelever/plan"
)

// A census is answered by every agent that holds a lease from a member, once; one that does not answer is named, a later
// census takes the place of an earlier one, and in calm times no agent is asked anything.
func TestInFlightSurvey(t *testing.T) {
	sim := newCalmSimulation(35*time.Millisecond, 5*time.Millisecond)
	controller := sim.nodes[0]
	now := controller.clock()
	pull := func(node string, count uint64) *PendingPull {
		return controller.replica.HandlePull(now, &PullRequest{From: Member{Node: node, Zone: "z0"}, Role: RoleProxy, ProtocolVersion: ProtocolVersion, Progress: controller.replica.items.Vector(), WaitMs: 900, ListenerAddr: node, Incarnation: 7, SurveyID: count})
	}
	for _, node := range []string{"e7", "e8"} {
		pull(node, 0)
	}
	pending := pull("e7", 0)
	if response, ready := controller.replica.AnswerPull(now, pending); ready && response.SurveyID != 0 {
		t.Fatal("asked, and nobody wants to know")
	}
	controller.replica.TakeOutput()
	controller.replica.StartInFlightSurvey(now)
	if controller.replica.TakeOutput().NotifyAfter != 0 {
		t.Error("who waits for news is not woken at once")
	}
	response, ready := controller.replica.AnswerPull(now, pending)
	if !ready || response.SurveyID == 0 {
		t.Fatalf("a waiting agent is not asked: %+v", response)
	}
	if _, ready := controller.replica.AnswerPull(now, pull("e7", response.SurveyID)); ready {
		t.Error("asked again though it has answered")
	}
	survey := controller.replica.SurveyResult()
	if len(survey.Missing) < 2 || !slices.Contains(survey.Missing, "e7") || !slices.Contains(survey.Missing, "e8") {
		t.Errorf("missing: %v", survey.Missing)
	}
	controller.replica.RecordInFlightReport(&InFlightReport{From: Member{Node: "e7", Zone: "z0"}, SurveyID: response.SurveyID, Rows: []lore.BackendInFlight{{BackendID: "i1", Idempotent: 1, NonIdempotent: 2}}, Loads: []ebb.ServiceLoad{{Service: "s", RequestsPerSecond: 3, ServiceSeconds: 1}}})
	controller.replica.RecordInFlightReport(&InFlightReport{From: Member{Node: "e8", Zone: "z0"}, SurveyID: response.SurveyID - 1}) // to an earlier one
	survey = controller.replica.SurveyResult()
	reports, loads := survey.ProgressReports()
	if slices.Contains(survey.Missing, "e7") || !slices.Contains(survey.Missing, "e8") || len(reports) != 1 || reports[0].InFlight["i1"] != [2]int{1, 2} || len(loads) != 1 {
		t.Errorf("counted: %+v", survey)
	}
	controller.replica.StartInFlightSurvey(now.Add(surveySharePeriod / 2))
	if !slices.Equal(controller.replica.SurveyResult().Missing, survey.Missing) {
		t.Error("two that ask at about one moment do not share a census")
	}
	controller.replica.StartInFlightSurvey(now.Add(2 * surveySharePeriod))
	if !slices.Contains(controller.replica.SurveyResult().Missing, "e7") {
		t.Error("an answer to the census before counts for the next")
	}
	if controller.replica.activeSurvey(now.Add(2*surveySharePeriod)) <= response.SurveyID || controller.replica.activeSurvey(now.Add(2*surveySharePeriod+surveyPeriod+1)) != 0 {
		t.Error("its number does not grow, or it is asked for without end")
	}
	if got := controller.replica.RecentProxies(now); !slices.Contains(got, "e7") {
		t.Errorf("agents: %v", got)
	}
	controller.replica.HandlePull(now, &PullRequest{From: Member{Node: "e7", Zone: "z0"}, Role: RoleProxy, ProtocolVersion: ProtocolVersion, Incarnation: 7, Ended: true})
	if got := controller.replica.RecentProxies(now); slices.Contains(got, "e7") || !slices.Contains(got, "e8") {
		t.Errorf("after one has said that it ends: %v", got)
	}
}

// Which appliances carry load, as room is reckoned: not those that leave for any reason, nor a build on trial or out of
// service; and the drains that stand, by the registers.
func TestBackendCapacitiesAndDrainOrders(t *testing.T) {
	now := time.UnixMilli(1000)
	begun := plan.Start("v2", time.Second, now)(quorum.Value{})
	drains := plan.Add(plan.Drain{ID: "drained"}, func(string) bool { return false }, now)(quorum.Value{})
	registers := map[string]quorum.Value{plan.EvacuationKey("c1"): plan.SetEvacuation(true, 0)(quorum.Value{}), plan.ListKey("a1"): drains,
		plan.Key(plan.KindServices, "s"): {Version: 1, Body: `{"warmUp":"3s","warmingRateS":5}`}}
	newBackend := func(zone, build, phase string, warm int64) *lore.Backend {
		return &lore.Backend{Service: "s", Zone: zone, Version: build, Capacity: 3, Phase: phase, WarmAtMs: warm}
	}
	backends := map[string]*lore.Backend{"old": newBackend("a1", "v1", lore.PhaseReady, 0), "new": newBackend("a1", "v2", lore.PhaseReady, 0), "cold": newBackend("a1", "v1", lore.PhaseReady, 2000),
		"drained": newBackend("a1", "v1", lore.PhaseReady, 0), "cleared": newBackend("c1", "v1", lore.PhaseReady, 0), "leaving": newBackend("a1", "v1", lore.PhaseDraining, 0), "silent": newBackend("a1", "v1", lore.PhaseTimedOut, 0)}
	regionByZone := map[string]string{"a1": "a", "c1": "c"}
	for phase, want := range map[string][]string{"": {"cold", "new", "old"}, plan.PhaseInService: {"cold", "old"}, plan.PhaseReverted: {"cold", "old"}, plan.PhaseFinished: {"new"}} {
		switch phase {
		case "":
		case plan.PhaseInService:
			registers[plan.RegisterKey("s")] = begun
		default:
			registers[plan.RegisterKey("s")] = plan.End(1, phase)(begun)
		}
		var serving []string
		for _, capacity := range BackendCapacities(plan.NewTable(registers), backends, regionByZone, now) {
			if capacity.Serving {
				serving = append(serving, capacity.ID)
			}
			if (capacity.WarmUpRate > 0) != (capacity.ID == "cold") || capacity.Region != regionByZone[capacity.Zone] {
				t.Errorf("%+v", capacity)
			}
		}
		if !slices.Equal(serving, want) {
			t.Errorf("release %q: %v carry load, want %v", phase, serving, want)
		}
		delete(registers, plan.RegisterKey("s"))
	}
	orders := DrainOrders(registers)
	if len(orders) != 1 || orders[0].Target != "drained" || orders[0].Version != 1 || !orders[0].Covers(ebb.BackendCapacity{ID: "drained", Zone: "a1"}) || orders[0].Covers(ebb.BackendCapacity{ID: "drained", Zone: "c1"}) {
		t.Errorf("%+v", orders)
	}
}
