package ebb

import (
	"sort"
	"time"
)

// Order is an operator's drain as it stands.
type Order struct {
	Target  string
	Zone    string
	Version uint64 // of the zone's drains that has it: a node that goes by it or a later one knows of this
	Began   time.Time
	Covers  func(Spot) bool
}

// Report is what one node says of itself.
type Report struct {
	Node, Zone string
	Knows      map[string]uint64 // by zone: the version of the drains that it goes by
	Out        map[string][2]int // by appliance: harmless and risky requests that are out there
}

// Progress is how far a drain has come.
//
//easyjson:json
type Progress struct {
	Target   string   `json:"target"`
	BeganMs  int64    `json:"began"` // Unix milliseconds
	ForMs    int64    `json:"for"`   // how long it has taken
	Backends []Leaver `json:"backends"`
	Nodes    []Holder `json:"nodes"`             // that still have something there, or do not know of it
	Unheard  []string `json:"unheard,omitempty"` // nodes that do not answer, and may have something there
	Harmless int      `json:"harmless"`
	Risky    int      `json:"risky"`
	Done     bool     `json:"done"` // nothing new goes there, from anywhere, and nothing is left
}

// Leaver is an appliance under a drain.
//
//easyjson:json
type Leaver struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Harmless int    `json:"harmless"`
	Risky    int    `json:"risky"`
}

// Holder is a node on which a drain waits.
//
//easyjson:json
type Holder struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Sends    bool   `json:"sends"` // it has not heard of the drain yet
	Harmless int    `json:"harmless"`
	Risky    int    `json:"risky"`
}

// Listing is what `drains` tells.
//
//easyjson:json
type Listing struct {
	Drains []Progress `json:"drains"`
}

// Answer is what the word on a new drain is answered with; Short says why it was refused.
//
//easyjson:json
type Answer struct {
	Target  string   `json:"target"`
	Stood   bool     `json:"stood,omitempty"` // it stood already
	Short   []Short  `json:"short,omitempty"`
	Unheard []string `json:"unheard,omitempty"` // nodes whose load is not in the figures
	// Backends are those that would leave, where it was refused: each may be drained by itself as there is room.
	Backends []string `json:"backends,omitempty"`
}

// Tell says how far each drain has come, by what the nodes report; unheard are those that should have and did not.
func Tell(orders []Order, spots []Spot, reports []Report, unheard []string, now time.Time) []Progress {
	out := make([]Progress, 0, len(orders))
	for _, o := range orders {
		p := Progress{Target: o.Target, BeganMs: o.Began.UnixMilli(), ForMs: max(0, now.Sub(o.Began).Milliseconds()),
			Backends: []Leaver{}, Nodes: []Holder{}, Unheard: unheard}
		for _, s := range spots {
			if !o.Covers(s) {
				continue
			}
			l := Leaver{ID: s.ID, Service: s.Service, Zone: s.Zone}
			for _, r := range reports {
				l.Harmless += r.Out[s.ID][0]
				l.Risky += r.Out[s.ID][1]
			}
			p.Harmless += l.Harmless
			p.Risky += l.Risky
			p.Backends = append(p.Backends, l)
		}
		for _, r := range reports {
			h := Holder{Node: r.Node, Zone: r.Zone, Sends: r.Knows[o.Zone] < o.Version}
			for _, l := range p.Backends {
				h.Harmless += r.Out[l.ID][0]
				h.Risky += r.Out[l.ID][1]
			}
			if h.Sends || h.Harmless+h.Risky > 0 {
				p.Nodes = append(p.Nodes, h)
			}
		}
		sort.Slice(p.Nodes, func(i, j int) bool { return p.Nodes[i].Node < p.Nodes[j].Node })
		p.Done = len(p.Nodes) == 0 && len(unheard) == 0
		out = append(out, p)
	}
	return out
}
