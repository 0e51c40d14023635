package replica

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

// surveyState is a count of what agents have out at appliances that leave. It is taken when an operator asks: in calm times
// nobody reports anything.
type surveyState struct {
	id        uint64 // the time of day at which it began, in Unix milliseconds
	startedAt time.Time
	reports   map[string]message.InFlightReport
}

const (
	surveySharePeriod = 100 * time.Millisecond // operators that ask within so long share a census
	surveyPeriod      = time.Second            // for so long agents that call are asked to report
)

// StartInFlightSurvey begins a census among the agents that hold a lease from here, or joins one that has just begun.
func (r *Replica) StartInFlightSurvey(now time.Time) {
	if r.survey.reports == nil || now.Sub(r.survey.startedAt) > surveySharePeriod {
		r.survey = surveyState{id: max(r.survey.id+1, uint64(now.UnixMilli())), startedAt: now, reports: map[string]message.InFlightReport{}}
		r.notifyAfter(0)
	}
}

// activeSurvey is the number of the census that agents are to answer; 0 for none.
func (r *Replica) activeSurvey(now time.Time) uint64 {
	if r.survey.reports == nil || now.Sub(r.survey.startedAt) > surveyPeriod {
		return 0
	}
	return r.survey.id
}

// RecordInFlightReport takes an agent's answer. One to an earlier census says nothing of now.
func (r *Replica) RecordInFlightReport(report *message.InFlightReport) {
	if report.SurveyID == r.survey.id && r.survey.reports != nil && (len(r.survey.reports) < maxSurveyReports || r.survey.reports[report.From.Node].SurveyID > 0) {
		r.survey.reports[report.From.Node] = *report
	}
}

// maxSurveyReports bounds what one member keeps of a census.
const maxSurveyReports = 4096

// SurveyResult is what has been heard in a census, or in a later one that has taken its place; missing are the agents with a
// lease from here that have not answered.
func (r *Replica) SurveyResult() (survey message.InFlightSurvey) {
	for _, node := range slices.Sorted(maps.Keys(r.survey.reports)) {
		survey.Reports = append(survey.Reports, r.survey.reports[node])
	}
	r.items.ForEach(replication.LeaseKey, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if ok && lease.Role == message.RoleProxy && !lease.Ended && lease.Grantor == r.config.Self.Node && r.survey.reports[lease.Node].SurveyID == 0 {
			survey.Missing = append(survey.Missing, lease.Node)
		}
	})
	slices.Sort(survey.Missing)
	return survey
}

// RecentProxies lists the edge agents that may have something out: those that hold a lease, and those whose lease ran out lately
// without a word that they have ended.
func (r *Replica) RecentProxies(now time.Time) (nodes []string) {
	r.items.ForEach(replication.LeaseKey, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if ok && lease.Role == message.RoleProxy && item.Version&0xff != 0xff && r.liveness.IsActive(item.Key, now) {
			nodes = append(nodes, lease.Node)
		}
	})
	slices.Sort(nodes)
	return nodes
}

// Backends are the appliances that are known and have not left, by id.
func (r *Replica) Backends() map[string]*replication.Backend {
	backends := map[string]*replication.Backend{}
	r.items.ForEach(replication.BackendKey, func(item replication.Item) {
		if backend, ok := replication.ReadBackend(item); ok && backend.Phase != replication.PhaseLeft {
			backends[strings.TrimPrefix(item.Key, replication.BackendKey)] = backend
		}
	})
	return backends
}

// BackendEnded tells whether an appliance's life is known to have ended, or nothing is known of it.
func (r *Replica) BackendEnded(id string) bool {
	phase := r.BackendPhase(id)
	return phase == "" || phase == replication.PhaseLeft
}
