package replica

import (
	"maps"
	"slices"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
)

const (
	// surveySharePeriod is how long after the start of a survey further requests join it.
	surveySharePeriod = 100 * time.Millisecond

	// surveyPeriod is how long responses to pulls ask the proxies to report.
	surveyPeriod = time.Second

	// maxSurveyReports limits the stored reports of a survey.
	maxSurveyReports = 4096
)

// surveyState is the last survey of the proxies' requests in flight at draining backends. Proxies report them only
// during a survey, which an operator requests.
type surveyState struct {
	id        uint64 // increasing; normally the Unix time of the start in milliseconds
	startedAt time.Time
	reports   map[string]message.InFlightReport // by node; nil before the first survey
}

// startedWithin reports whether the survey was started at most the given period ago.
func (s *surveyState) startedWithin(now time.Time, period time.Duration) bool {
	return s.reports != nil && now.Sub(s.startedAt) <= period
}

// StartInFlightSurvey begins a survey among the proxies that hold a lease from this replica, or joins one that has
// just begun.
func (r *Replica) StartInFlightSurvey(now time.Time) {
	if r.survey.startedWithin(now, surveySharePeriod) {
		return
	}
	r.survey = surveyState{
		id:        max(r.survey.id+1, uint64(now.UnixMilli())),
		startedAt: now,
		reports:   map[string]message.InFlightReport{},
	}
	r.notifyAfter(0)
}

// activeSurvey returns the ID of the survey that proxies should answer, or 0 for none.
func (r *Replica) activeSurvey(now time.Time) uint64 {
	if !r.survey.startedWithin(now, surveyPeriod) {
		return 0
	}
	return r.survey.id
}

// hasReported reports whether a proxy has answered the survey.
func (s *surveyState) hasReported(node string) bool { return s.reports[node].SurveyID > 0 }

// RecordInFlightReport records a proxy's answer to the current survey. Answers to earlier surveys are outdated and
// ignored.
func (r *Replica) RecordInFlightReport(report *message.InFlightReport) {
	if r.survey.reports == nil || report.SurveyID != r.survey.id {
		return
	}
	node := report.From.Node
	if len(r.survey.reports) < maxSurveyReports || r.survey.hasReported(node) {
		r.survey.reports[node] = *report
	}
}

// SurveyResult returns the reports of the last survey, and the proxies with a lease from this replica that have not
// answered it.
func (r *Replica) SurveyResult() (survey message.InFlightSurvey) {
	for _, node := range slices.Sorted(maps.Keys(r.survey.reports)) {
		survey.Reports = append(survey.Reports, r.survey.reports[node])
	}
	r.items.ForEach(replication.LeaseKeyPrefix, func(item replication.Item) {
		lease, ok := replication.ReadLease(item)
		if !ok || lease.Ended || lease.Role != message.RoleProxy || lease.Grantor != r.config.Self.Node {
			return
		}
		if !r.survey.hasReported(lease.Node) {
			survey.Missing = append(survey.Missing, lease.Node)
		}
	})
	slices.Sort(survey.Missing)
	return survey
}
