package drain

import (
	"sort"
	"time"
)

// ActiveDrain is an operator's drain as it stands.
type ActiveDrain struct {
	Target    string
	Zone      string
	Version   uint64 // of the zone's drains that has it: a node that goes by it or a later one knows of this
	StartedAt time.Time
	Covers    func(BackendCapacity) bool
}

// ProxyReport is what one node says of itself.
type ProxyReport struct {
	Proxy, Zone   string
	DrainVersions map[string]uint64 // by zone: the version of the drains that it goes by
	InFlight      map[string][2]int // by appliance: harmless and risky requests that are out there
}

// Progress is how far a drain has come.
//
//easyjson:json
type Progress struct {
	Target          string            `json:"target"`
	StartedMs       int64             `json:"began"` // Unix milliseconds
	ElapsedMs       int64             `json:"for"`   // how long it has taken
	Backends        []DrainingBackend `json:"backends"`
	BlockingProxies []BlockingProxy   `json:"nodes"`             // that still have something there, or do not know of it
	Unresponsive    []string          `json:"unheard,omitempty"` // nodes that do not answer, and may have something there
	Idempotent      int               `json:"harmless"`
	NonIdempotent   int               `json:"risky"`
	Done            bool              `json:"done"` // nothing new goes there, from anywhere, and nothing is left
}

// DrainingBackend is an appliance under a drain.
//
//easyjson:json
type DrainingBackend struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	Idempotent    int    `json:"harmless"`
	NonIdempotent int    `json:"risky"`
}

// BlockingProxy is a node on which a drain waits.
//
//easyjson:json
type BlockingProxy struct {
	Proxy         string `json:"node"`
	Zone          string `json:"zone"`
	MaySend       bool   `json:"sends"` // it has not heard of the drain yet
	Idempotent    int    `json:"harmless"`
	NonIdempotent int    `json:"risky"`
}

// ProgressList is what `drains` tells.
//
//easyjson:json
type ProgressList struct {
	Drains []Progress `json:"drains"`
}

// Response is what the word on a new drain is answered with; Short says why it was refused.
//
//easyjson:json
type Response struct {
	Target        string              `json:"target"`
	AlreadyActive bool                `json:"stood,omitempty"` // it stood already
	Shortfalls    []CapacityShortfall `json:"short,omitempty"`
	Unresponsive  []string            `json:"unheard,omitempty"` // nodes whose load is not in the figures
	// Backends are those that would leave, where it was refused: each may be drained by itself as there is room.
	Backends []string `json:"backends,omitempty"`
}

// MeasureProgress says how far each drain has come, by what the nodes report; unheard are those that should have and did not.
func MeasureProgress(drains []ActiveDrain, backends []BackendCapacity, reports []ProxyReport, unresponsive []string, now time.Time) []Progress {
	list := make([]Progress, 0, len(drains))
	for _, active := range drains {
		progress := Progress{Target: active.Target, StartedMs: active.StartedAt.UnixMilli(), ElapsedMs: max(0, now.Sub(active.StartedAt).Milliseconds()),
			Backends: []DrainingBackend{}, BlockingProxies: []BlockingProxy{}, Unresponsive: unresponsive}
		for _, capacity := range backends {
			if !active.Covers(capacity) {
				continue
			}
			backend := DrainingBackend{ID: capacity.ID, Service: capacity.Service, Zone: capacity.Zone}
			for _, report := range reports {
				backend.Idempotent += report.InFlight[capacity.ID][0]
				backend.NonIdempotent += report.InFlight[capacity.ID][1]
			}
			progress.Idempotent += backend.Idempotent
			progress.NonIdempotent += backend.NonIdempotent
			progress.Backends = append(progress.Backends, backend)
		}
		for _, report := range reports {
			proxy := BlockingProxy{Proxy: report.Proxy, Zone: report.Zone, MaySend: report.DrainVersions[active.Zone] < active.Version}
			for _, backend := range progress.Backends {
				proxy.Idempotent += report.InFlight[backend.ID][0]
				proxy.NonIdempotent += report.InFlight[backend.ID][1]
			}
			if proxy.MaySend || proxy.Idempotent+proxy.NonIdempotent > 0 {
				progress.BlockingProxies = append(progress.BlockingProxies, proxy)
			}
		}
		sort.Slice(progress.BlockingProxies, func(i, j int) bool { return progress.BlockingProxies[i].Proxy < progress.BlockingProxies[j].Proxy })
		progress.Done = len(progress.BlockingProxies) == 0 && len(unresponsive) == 0
		list = append(list, progress)
	}
	return list
}
