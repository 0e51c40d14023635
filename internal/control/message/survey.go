package message

import (
	"sagelever/internal/control/drain"
	"sagelever/internal/control/replication"
)

//go:generate go tool easyjson $GOFILE

// InFlightReport is a proxy's answer to an in-flight survey: its unfinished requests at draining backends, and the
// load it carries.
//
//easyjson:json
type InFlightReport struct {
	From     Member `json:"f"`
	SurveyID uint64 `json:"k"`
	// DrainVersions is, by zone, the version of the drains that the proxy acts on.
	DrainVersions map[string]uint64             `json:"d,omitempty"`
	Backends      []replication.BackendInFlight `json:"o,omitempty"`
	Loads         []drain.ServiceLoad           `json:"l,omitempty"`
}

// InFlightSurvey is what one controller has collected from the proxies that hold a lease from it.
//
//easyjson:json
type InFlightSurvey struct {
	Reports []InFlightReport `json:"w,omitempty"`
	Missing []string         `json:"m,omitempty"` // proxies that have not answered
}

// ProgressReports converts the survey into the input of the drain progress computation.
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
