package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"time"

	"sagelever/agent"
)

// member is one entry of discovery's list, as written.
type member struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
	Build       int     `json:"build"`
}

// members is one object of discovery's: the whole list if Reset, else what changed.
type members struct {
	Generation *int64   `json:"generation"`
	Reset      bool     `json:"reset"`
	Instances  []member `json:"instances"`
}

// list is a list event with the addresses that go with it.
type list struct {
	news      agent.ListNews
	addresses map[agent.ApplianceID]string
}

// applianceID is the same at every agent, as agents name appliances to each other.
func applianceID(instance string) agent.ApplianceID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return agent.ApplianceID(h.Sum32())
}

var standings = map[string]agent.Standing{"in_service": agent.Up, "terminating": agent.Draining, "terminated": agent.Gone}

// readList reads one object of discovery's; times in it count from the start of this agent.
func readList(text []byte, began time.Time) (*list, error) {
	var m members
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	if m.Generation == nil || m.Instances == nil {
		return nil, fmt.Errorf("no list: %.200q", text)
	}
	l := &list{news: agent.ListNews{Kind: agent.Changes, Version: *m.Generation}, addresses: map[agent.ApplianceID]string{}}
	if m.Reset {
		l.news.Kind = agent.Whole
	}
	for _, x := range m.Instances {
		standing, ok := standings[x.Lifecycle]
		if !ok || x.InstanceID == "" || x.Weight < 0 || x.StartedAtMs < 0 {
			return nil, fmt.Errorf("entry cannot be read: %+v", x)
		}
		if _, _, err := net.SplitHostPort(x.HostPort); err != nil && standing == agent.Up {
			return nil, fmt.Errorf("entry %q has address %q", x.InstanceID, x.HostPort)
		}
		a := agent.Appliance{ID: applianceID(x.InstanceID), Build: agent.Build(x.Build), Group: agent.Group(x.Cell),
			Kind: agent.MachineKind(x.MachineType), Place: agent.Place(x.Zone), Standing: standing,
			Started: agent.LongAgo, Share: x.Weight}
		if x.StartedAtMs != 0 {
			a.Started = time.UnixMilli(x.StartedAtMs).Sub(began)
		}
		l.news.Entries = append(l.news.Entries, a)
		l.addresses[a.ID] = x.HostPort
	}
	return l, nil
}

// enlist passes a list on: addresses first, as the module may send at once. What is no newer than the list held is
// passed over: it comes from an older watch, or from a discovery that is behind.
func (a *Agent) enlist(l *list) {
	a.listing.Lock()
	defer a.listing.Unlock()
	if held := a.version.Load(); l.news.Version < held || l.news.Version == held && l.news.Kind == agent.Changes && held > 0 {
		a.log.Info("list_passed_over", "version", l.news.Version, "held", held, "entries", len(l.news.Entries))
		return
	}
	a.log.Info("list", "version", l.news.Version, "held", a.version.Load(), "whole", l.news.Kind == agent.Whole, "entries", len(l.news.Entries))
	a.links.list(l)
	a.places(l)
	a.engine.Tell(l.news)
	a.version.Store(l.news.Version)
}

// watchSilence is three times as long as a watch is ever silent. After that it is a dead one, or discovery is
// silent, and then a new watch, which costs it nothing, is silent too.
const watchSilence = 6 * time.Second

// watch follows discovery's changes, from the version last read, as long as the module wants them.
func (a *Agent) watch(ctx context.Context) {
	pushed := term(a.station, "discovery", "pushed") == "pushed"
	for pushed || a.waitWanted(ctx) {
		wanted, stop := context.WithCancel(ctx)
		keepOpen(wanted, a.log, "watch", watchSilence, a.moved.watch, func(ctx context.Context, heard func()) error {
			path := fmt.Sprintf("/catalog/members?watch=1&from=%d", a.version.Load())
			err := follow(ctx, a.control, a.moved.discovery(), path, func(line []byte) error {
				if err := a.hearDiscovery(line); err != nil {
					return err
				}
				heard()
				return nil
			})
			if !pushed && ctx.Err() == nil {
				stop() // the module decides when to ask again
			}
			return err
		})
		stop()
		if ctx.Err() != nil {
			return
		}
		a.watching.Store(false)
		a.engine.Tell(agent.ListNews{Kind: agent.Unavailable})
	}
}

// hearDiscovery takes one line of a watch; an empty one is a sign of life.
func (a *Agent) hearDiscovery(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	l, err := readList(line, a.engine.Began())
	if err != nil {
		return fmt.Errorf("a line that cannot be read: %w", err)
	}
	a.enlist(l)
	return nil
}

// waitWanted waits until the module has subscribed.
func (a *Agent) waitWanted(ctx context.Context) bool {
	for !a.watching.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-a.subscribed:
		}
	}
	return true
}

// fetch gets the whole list once.
func (a *Agent) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchSilence)
	defer cancel()
	l, err := func() (*list, error) {
		resp, err := get(ctx, a.control, a.moved.discovery(), "/catalog/members")
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, longestLine))
		if err != nil {
			return nil, err
		}
		return readList(text, a.engine.Began())
	}()
	if err != nil {
		a.log.Warn("fetch_failed", "error", err)
		a.engine.Tell(agent.ListNews{Kind: agent.Unavailable})
		return
	}
	l.news.Kind = agent.Whole
	a.enlist(l)
}
