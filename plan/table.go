package plan

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/boot"
	"sagelever/internal/control/quorum"
)

// Table is the configuration as a relay uses it: immutable, swapped whole.
type Table struct {
	hosts    map[string]map[string]*Way
	lengths  map[string][]int // of each host's prefixes, the longest first
	Services map[string]*Backend
	Cleared  map[string]bool     // zones to which nothing may be sent
	Drains   map[string][]Drain  // what operators drain, by zone
	Orders   map[string]uint64   // the versions of these registers, by zone, where there is one
	Releases map[string]*Release // by service
	Limits   Bound
	Items    int
}

// Way is a route, read.
type Way struct {
	Name           string
	Harmless       bool
	GiveUp, Target time.Duration
	Rank, Tries    int
	Shares         []Share
	Homes          map[string]bool // nil: anywhere
	HomeList       string          // the same: sorted, with commas
	total          float64
	tenant         string
}

// Pick picks the service by a number drawn from [0, 1).
func (w *Way) Pick(luck float64) string {
	at := luck * w.total
	for _, s := range w.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return w.Shares[0].Service
}

// Backend is a service, read.
type Backend struct {
	CheckPath string
	MaxLinks  int
	WarmUp    time.Duration
	WarmRate  float64 // requests a second that a cold appliance bears
}

// Bound is what a client may send.
type Bound struct {
	Head, Body      int64
	HeadWait, Quiet time.Duration
}

// NewTable reads the registers into a table. What can't be read is passed over: it was checked when it was taken.
func NewTable(values map[string]quorum.Value) *Table {
	t := &Table{hosts: map[string]map[string]*Way{}, lengths: map[string][]int{}, Services: map[string]*Backend{},
		Cleared: map[string]bool{}, Drains: map[string][]Drain{}, Orders: map[string]uint64{}, Releases: map[string]*Release{}}
	homes := map[string]map[string]bool{}
	names := make([]string, 0, len(values))
	for key := range values {
		names = append(names, key)
	}
	sort.Strings(names) // where two routes stood in one place, all agents would serve the same
	for _, key := range names {
		v := values[key]
		if v.Gone {
			continue
		}
		if zone, ok := strings.CutPrefix(key, clearedKey); ok {
			t.Cleared[zone] = readCleared(v.Body).orders > 0
			continue
		}
		if zone, ok := strings.CutPrefix(key, drainKey); ok {
			t.Orders[zone] = v.Version
			if list := ReadDrains(v); len(list) > 0 {
				t.Drains[zone] = list
			}
			continue
		}
		if service, ok := strings.CutPrefix(key, releaseKey); ok {
			r := &Release{}
			if easyjson.Unmarshal([]byte(v.Body), r) == nil {
				t.Releases[service] = r
			}
			continue
		}
		kind, name, ok := SplitKey(key)
		if !ok {
			continue
		}
		t.Items++
		got, err := readItem(kind, name, v.Body)
		if err != nil {
			continue
		}
		switch x := got.(type) {
		case *Service:
			warm, _ := boot.Span(orZero(x.WarmUp))
			t.Services[name] = &Backend{x.CheckPath, x.MaxLinks, warm, x.WarmingRateS}
		case *Limits:
			t.Limits = Bound{Head: x.HeadSizeBytes, Body: x.BodySizeBytes}
			t.Limits.HeadWait, _ = boot.Span(x.HeadWait)
			t.Limits.Quiet, _ = boot.Span(x.Quiet)
		case *Tenant:
			homes[name] = set(x.HomeRegions)
		case *Route:
			t.add(name, x)
		}
	}
	for host, ways := range t.hosts {
		seen := map[int]bool{}
		for p, w := range ways {
			if h := homes[w.tenant]; w.tenant != "" && h != nil { // where route and tenant have homes, both bind
				w.Homes = both(w.Homes, h)
			}
			w.HomeList = strings.Join(slices.Sorted(maps.Keys(w.Homes)), ",")
			if !seen[len(p)] {
				seen[len(p)] = true
				t.lengths[host] = append(t.lengths[host], len(p))
			}
		}
		sort.Sort(sort.Reverse(sort.IntSlice(t.lengths[host])))
	}
	return t
}

// Drained tells whether an operator drains an appliance.
func (t *Table) Drained(service, id, zone string) bool {
	for _, d := range t.Drains[zone] {
		if d.Covers(service, id) {
			return true
		}
	}
	return false
}

func (t *Table) add(name string, r *Route) {
	host := strings.ToLower(r.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = map[string]*Way{}
	}
	if t.hosts[host][r.PathStart] != nil {
		return
	}
	w := &Way{Name: name, Harmless: r.Kind == "harmless", Rank: r.Rank, Tries: max(1, r.Tries), Shares: r.Shares,
		Homes: set(r.HomeRegions), tenant: r.Tenant}
	w.GiveUp, _ = boot.Span(r.GiveUp)
	w.Target, _ = boot.Span(orZero(r.TargetTime))
	if r.Service != "" {
		w.Shares = []Share{{r.Service, 1}}
	}
	for _, s := range w.Shares {
		w.total += s.Weight
	}
	t.hosts[host][r.PathStart] = w
}

// Find is the route of a request: of the host's, the one with the longest prefix that begins the path; nil for none.
// It costs one look-up for each length that the host's prefixes have, however many routes there are.
func (t *Table) Find(host, path string) *Way {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host, ']') < i {
		host = host[:i]
	}
	host = strings.ToLower(host)
	ways := t.hosts[host]
	for _, n := range t.lengths[host] {
		if n <= len(path) {
			if w := ways[path[:n]]; w != nil {
				return w
			}
		}
	}
	return nil
}

func set(list []string) map[string]bool {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]bool, len(list))
	for _, s := range list {
		out[s] = true
	}
	return out
}

func both(a, b map[string]bool) map[string]bool {
	if a == nil || b == nil {
		if a == nil {
			return b
		}
		return a
	}
	out := map[string]bool{}
	for k := range a {
		if b[k] {
			out[k] = true
		}
	}
	return out
}
