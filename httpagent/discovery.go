package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"time"

	"sagelever/internal/agent/api"
)

// discoveryInstance is one entry of discovery's list, as written.
type discoveryInstance struct {
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

// discoveryList is one object of discovery's: the whole list if Reset, else what changed.
type discoveryList struct {
	Generation *int64              `json:"generation"`
	Reset      bool                `json:"reset"`
	Instances  []discoveryInstance `json:"instances"`
}

// backendList is a list event with the addresses that go with it.
type backendList struct {
	update    api.BackendUpdate
	addresses map[api.BackendID]string
}

// backendID is the same at every agent, as agents name appliances to each other.
func backendID(instance string) api.BackendID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return api.BackendID(h.Sum32())
}

var backendStates = map[string]api.BackendState{"in_service": api.StateUp, "terminating": api.StateDraining, "terminated": api.StateGone}

// parseBackendList reads one object of discovery's; times in it count from the start of this agent.
func parseBackendList(text []byte, startedAt time.Time) (*backendList, error) {
	var parsed discoveryList
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, err
	}
	if parsed.Generation == nil || parsed.Instances == nil {
		return nil, fmt.Errorf("no list: %.200q", text)
	}
	l := &backendList{update: api.BackendUpdate{Kind: api.UpdateIncremental, Version: *parsed.Generation}, addresses: map[api.BackendID]string{}}
	if parsed.Reset {
		l.update.Kind = api.UpdateSnapshot
	}
	for _, instance := range parsed.Instances {
		state, ok := backendStates[instance.Lifecycle]
		if !ok || instance.InstanceID == "" || instance.Weight < 0 || instance.StartedAtMs < 0 {
			return nil, fmt.Errorf("entry cannot be read: %+v", instance)
		}
		if _, _, err := net.SplitHostPort(instance.HostPort); err != nil && state == api.StateUp {
			return nil, fmt.Errorf("entry %q has address %q", instance.InstanceID, instance.HostPort)
		}
		backend := api.Backend{ID: backendID(instance.InstanceID), Build: api.Build(instance.Build), Cell: api.Cell(instance.Cell),
			MachineType: api.MachineType(instance.MachineType), Zone: api.Zone(instance.Zone), State: state,
			Started: api.UnknownStart, Weight: instance.Weight}
		if instance.StartedAtMs != 0 {
			backend.Started = time.UnixMilli(instance.StartedAtMs).Sub(startedAt)
		}
		l.update.Backends = append(l.update.Backends, backend)
		l.addresses[backend.ID] = instance.HostPort
	}
	return l, nil
}

// applyList passes a list on: addresses first, as the module may send at once. What is no newer than the list held is
// passed over: it comes from an older watch, or from a discovery that is behind.
func (a *Agent) applyList(l *backendList) {
	a.updating.Lock()
	defer a.updating.Unlock()
	if current := a.listVersion.Load(); l.update.Version < current || l.update.Version == current && l.update.Kind == api.UpdateIncremental && current > 0 {
		a.log.Info("list_passed_over", "version", l.update.Version, "held", current, "entries", len(l.update.Backends))
		return
	}
	a.log.Info("list", "version", l.update.Version, "held", a.listVersion.Load(), "whole", l.update.Kind == api.UpdateSnapshot, "entries", len(l.update.Backends))
	a.backends.update(l)
	a.announceBackends(l)
	a.engine.Deliver(l.update)
	a.listVersion.Store(l.update.Version)
}

// watchTimeout is three times as long as a watch is ever silent. After that it is a dead one, or discovery is
// silent, and then a new watch, which costs it nothing, is silent too.
const watchTimeout = 6 * time.Second

// watchDiscovery follows discovery's changes, from the version last read, as long as the module wants them.
func (a *Agent) watchDiscovery(ctx context.Context) {
	pushed := setting(a.station, "discovery", "pushed") == "pushed"
	for pushed || a.waitUntilWatchWanted(ctx) {
		watchCtx, stop := context.WithCancel(ctx)
		maintainStream(watchCtx, a.log, "watch", watchTimeout, a.endpoints.watchChanged, func(ctx context.Context, received func()) error {
			path := fmt.Sprintf("/catalog/members?watch=1&from=%d", a.listVersion.Load())
			err := readLines(ctx, a.control, a.endpoints.discovery(), path, func(line []byte) error {
				if err := a.receiveDiscoveryLine(line); err != nil {
					return err
				}
				received()
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
		a.watchWanted.Store(false)
		a.engine.Deliver(api.BackendUpdate{Kind: api.UpdateUnavailable})
	}
}

// receiveDiscoveryLine takes one line of a watch; an empty one is a sign of life.
func (a *Agent) receiveDiscoveryLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	list, err := parseBackendList(line, a.engine.StartTime())
	if err != nil {
		return fmt.Errorf("a line that cannot be read: %w", err)
	}
	a.applyList(list)
	return nil
}

// waitUntilWatchWanted waits until the module has subscribed.
func (a *Agent) waitUntilWatchWanted(ctx context.Context) bool {
	for !a.watchWanted.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-a.watchRequested:
		}
	}
	return true
}

// fetchBackends gets the whole list once.
func (a *Agent) fetchBackends(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	l, err := func() (*backendList, error) {
		resp, err := httpGet(ctx, a.control, a.endpoints.discovery(), "/catalog/members")
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, maxLineSize))
		if err != nil {
			return nil, err
		}
		return parseBackendList(text, a.engine.StartTime())
	}()
	if err != nil {
		a.log.Warn("fetch_failed", "error", err)
		a.engine.Deliver(api.BackendUpdate{Kind: api.UpdateUnavailable})
		return
	}
	l.update.Kind = api.UpdateSnapshot
	a.applyList(l)
}
