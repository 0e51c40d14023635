package drain

import (
	"sort"
	"time"
)

//go:generate go tool easyjson $GOFILE

// ProxyReport is a proxy's report on drains.
type ProxyReport struct {
	Proxy         string
	Zone          string
	DrainVersions map[string]uint64         // the applied version of the register of drains, by zone
	InFlight      map[string]InFlightCounts // by backend ID
}

// InFlightCounts are the numbers of requests in flight from one proxy to one backend.
type InFlightCounts struct {
	Idempotent    int
	NonIdempotent int
}

// Progress is the progress of a drain.
//
//easyjson:json
type Progress struct {
	Target          string            `json:"target"`
	StartedMs       int64             `json:"began"` // Unix milliseconds
	ElapsedMs       int64             `json:"for"`
	Backends        []DrainingBackend `json:"backends"`
	BlockingProxies []BlockingProxy   `json:"nodes"`
	Unresponsive    []string          `json:"unheard,omitempty"` // proxies that did not report
	Idempotent      int               `json:"harmless"`          // requests in flight
	NonIdempotent   int               `json:"risky"`             // requests in flight
	Done            bool              `json:"done"`              // no proxy sends new requests, and none are in flight
}

// DrainingBackend is a backend that a drain covers, with its requests in flight.
//
//easyjson:json
type DrainingBackend struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Zone          string `json:"zone"`
	Idempotent    int    `json:"harmless"`
	NonIdempotent int    `json:"risky"`
}

// BlockingProxy is a proxy that a drain waits for: it has requests in flight, or has not applied the drain yet.
//
//easyjson:json
type BlockingProxy struct {
	Proxy         string `json:"node"`
	Zone          string `json:"zone"`
	MaySend       bool   `json:"sends"` // it has not applied the drain yet
	Idempotent    int    `json:"harmless"`
	NonIdempotent int    `json:"risky"`
}

// ProgressList is the response to a drains.read call.
//
//easyjson:json
type ProgressList struct {
	Drains []Progress `json:"drains"`
}

// Response is the response to a drains.begin call. Shortfalls is set if the call was rejected for lack of capacity.
//
//easyjson:json
type Response struct {
	Target        string              `json:"target"`
	AlreadyActive bool                `json:"stood,omitempty"`
	Shortfalls    []CapacityShortfall `json:"short,omitempty"`
	Unresponsive  []string            `json:"unheard,omitempty"` // proxies whose load is not included
	// Backends are those that the rejected drain covers. Each can be drained on its own once there is capacity.
	Backends []string `json:"backends,omitempty"`
}

// MeasureProgress returns the progress of each drain according to the reports of the proxies. unresponsive lists the
// proxies whose reports are missing; no drain is done while there are any.
func MeasureProgress(
	drains []ActiveDrain, backends []BackendCapacity, reports []ProxyReport, unresponsive []string, now time.Time,
) []Progress {
	list := make([]Progress, 0, len(drains))
	for _, active := range drains {
		progress := Progress{
			Target:          active.Target,
			StartedMs:       active.StartedAt.UnixMilli(),
			ElapsedMs:       max(0, now.Sub(active.StartedAt).Milliseconds()),
			Backends:        []DrainingBackend{},
			BlockingProxies: []BlockingProxy{},
			Unresponsive:    unresponsive,
		}
		progress.addBackends(active, backends, reports)
		progress.addBlockingProxies(active, reports)
		progress.Done = len(progress.BlockingProxies) == 0 && len(unresponsive) == 0
		list = append(list, progress)
	}
	return list
}

// addBackends adds the backends that the drain covers, with the requests in flight from all proxies.
func (p *Progress) addBackends(active ActiveDrain, backends []BackendCapacity, reports []ProxyReport) {
	for _, backend := range backends {
		if !active.Covers(backend) {
			continue
		}
		draining := DrainingBackend{ID: backend.ID, Service: backend.Service, Zone: backend.Zone}
		for _, report := range reports {
			inFlight := report.InFlight[backend.ID]
			draining.Idempotent += inFlight.Idempotent
			draining.NonIdempotent += inFlight.NonIdempotent
		}
		p.Idempotent += draining.Idempotent
		p.NonIdempotent += draining.NonIdempotent
		p.Backends = append(p.Backends, draining)
	}
}

// addBlockingProxies adds the proxies that the drain waits for, sorted by name. It must be called after addBackends.
func (p *Progress) addBlockingProxies(active ActiveDrain, reports []ProxyReport) {
	for _, report := range reports {
		proxy := BlockingProxy{
			Proxy:   report.Proxy,
			Zone:    report.Zone,
			MaySend: report.DrainVersions[active.Zone] < active.Version,
		}
		for _, backend := range p.Backends {
			inFlight := report.InFlight[backend.ID]
			proxy.Idempotent += inFlight.Idempotent
			proxy.NonIdempotent += inFlight.NonIdempotent
		}
		if proxy.MaySend || proxy.Idempotent+proxy.NonIdempotent > 0 {
			p.BlockingProxies = append(p.BlockingProxies, proxy)
		}
	}
	sort.Slice(p.BlockingProxies, func(i, j int) bool {
		return p.BlockingProxies[i].Proxy < p.BlockingProxies[j].Proxy
	})
}
