package message

import (
	"sagelever/internal/control/drain"
	"sagelever/internal/control/replication"
)

//go:generate go tool easyjson $GOFILE

// InFlightReport is a proxy's report for an in-flight survey: its requests in flight to draining backends, and its load
// on services.
//
//easyjson:json
type InFlightReport struct {
	From     Member `json:"f"`
	SurveyID uint64 `json:"k"`
	// DrainVersions has the version of the drains that the proxy has applied, by zone.
	DrainVersions map[string]uint64             `json:"d,omitempty"`
	Backends      []replication.BackendInFlight `json:"o,omitempty"`
	Loads         []drain.ServiceLoad           `json:"l,omitempty"`
}

// InFlightSurvey has the reports that one controller has collected from the proxies to which it granted a lease.
//
//easyjson:json
type InFlightSurvey struct {
	Reports []InFlightReport `json:"w,omitempty"`
	Missing []string         `json:"m,omitempty"` // proxies that have not reported
}

// ProgressReports converts the survey to the input of drain.MeasureProgress and of the capacity check.
func (s InFlightSurvey) ProgressReports() (reports []drain.ProxyReport, loads []drain.ServiceLoad) {
	for _, report := range s.Reports {
		inFlight := make(map[string]drain.InFlightCounts, len(report.Backends))
		for _, row := range report.Backends {
			inFlight[row.BackendID] = drain.InFlightCounts{
				Idempotent:    row.Idempotent,
				NonIdempotent: row.NonIdempotent,
			}
		}
		reports = append(reports, drain.ProxyReport{
			Proxy:         report.From.Node,
			Zone:          report.From.Zone,
			DrainVersions: report.DrainVersions,
			InFlight:      inFlight,
		})
		loads = append(loads, report.Loads...)
	}
	return reports, loads
}
