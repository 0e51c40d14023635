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

// membersPath is where discovery lists the backends.
const membersPath = "/catalog/members"

// discoveryInstance is one entry of discovery's list, as discovery writes it.
type discoveryInstance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // since the Unix epoch; 0 if it is not known
	Build       int     `json:"build"`
}

// discoveryList is one object of discovery's: the whole list if Reset is set, else what changed.
type discoveryList struct {
	Generation *int64              `json:"generation"`
	Reset      bool                `json:"reset"`
	Instances  []discoveryInstance `json:"instances"`
}

// backendList is a list for the policy, with the addresses that the policy does not know.
type backendList struct {
	update    api.BackendUpdate
	addresses map[api.BackendID]string
}

// backendID is the same at every agent, as agents name backends to each other by it.
func backendID(instance string) api.BackendID {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, instance) // a hash never fails
	return api.BackendID(hash.Sum32())
}

var backendStates = map[string]api.BackendState{
	"in_service":  api.StateUp,
	"terminating": api.StateDraining,
	"terminated":  api.StateGone,
}

// parseBackendList reads one object of discovery's. Times in the result count from the start of this agent.
func parseBackendList(text []byte, startedAt time.Time) (*backendList, error) {
	var parsed discoveryList
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, err
	}
	if parsed.Generation == nil || parsed.Instances == nil {
		return nil, fmt.Errorf("no list: %.200q", text)
	}
	list := &backendList{
		update:    api.BackendUpdate{Kind: api.UpdateIncremental, Version: *parsed.Generation},
		addresses: map[api.BackendID]string{},
	}
	if parsed.Reset {
		list.update.Kind = api.UpdateSnapshot
	}
	for _, instance := range parsed.Instances {
		backend, err := instance.backend(startedAt)
		if err != nil {
			return nil, err
		}
		list.update.Backends = append(list.update.Backends, backend)
		list.addresses[backend.ID] = instance.HostPort
	}
	return list, nil
}

// backend checks an entry and gives it as the policy takes it.
func (i discoveryInstance) backend(startedAt time.Time) (api.Backend, error) {
	state, ok := backendStates[i.Lifecycle]
	if !ok || i.InstanceID == "" || i.Weight < 0 || i.StartedAtMs < 0 {
		return api.Backend{}, fmt.Errorf("entry cannot be read: %+v", i)
	}
	if _, _, err := net.SplitHostPort(i.HostPort); err != nil && state == api.StateUp {
		return api.Backend{}, fmt.Errorf("entry %q has address %q", i.InstanceID, i.HostPort)
	}
	started := api.UnknownStart
	if i.StartedAtMs != 0 {
		started = time.UnixMilli(i.StartedAtMs).Sub(startedAt)
	}
	return api.Backend{
		ID:          backendID(i.InstanceID),
		Build:       api.Build(i.Build),
		Cell:        api.Cell(i.Cell),
		MachineType: api.MachineType(i.MachineType),
		Zone:        api.Zone(i.Zone),
		State:       state,
		Started:     started,
		Weight:      i.Weight,
	}, nil
}

// applyList passes a list on, the addresses first, as the policy may start attempts at once. A list that is no newer
// than the last one is ignored: it comes from an older watch, or from a replica of discovery that is behind.
func (a *Agent) applyList(list *backendList) {
	a.updating.Lock()
	defer a.updating.Unlock()
	update, current := list.update, a.listVersion.Load()
	repeated := update.Version == current && update.Kind == api.UpdateIncremental && current > 0
	if update.Version < current || repeated {
		a.log.Info("list_passed_over", "version", update.Version, "held", current, "entries", len(update.Backends))
		return
	}
	a.log.Info("list", "version", update.Version, "held", current, "whole", update.Kind == api.UpdateSnapshot,
		"entries", len(update.Backends))
	a.backends.update(list)
	a.announceBackends(list)
	a.engine.Deliver(update)
	a.listVersion.Store(update.Version)
}

// watchTimeout is three times as long as a watch is ever silent. After that the watch is dead, or discovery is; in that
// case another watch, which costs discovery nothing, is silent too.
const watchTimeout = 6 * time.Second

// watchDiscovery follows discovery's changes, from the version last read, as long as the policy wants them.
func (a *Agent) watchDiscovery(ctx context.Context) {
	pushed := setting(a.station, "discovery", "pushed") == "pushed"
	for pushed || a.waitUntilWatchWanted(ctx) {
		watchCtx, stop := context.WithCancel(ctx)
		watch := func(ctx context.Context, received func()) error {
			path := fmt.Sprintf("%s?watch=1&from=%d", membersPath, a.listVersion.Load())
			err := readLines(ctx, a.control, a.endpoints.discovery(), path, handleLines(a.receiveDiscoveryLine, received))
			if !pushed && ctx.Err() == nil {
				stop() // the policy decides when to ask again
			}
			return err
		}
		maintainStream(watchCtx, a.log, "watch", watchTimeout, a.endpoints.watchChanged, watch)
		stop()
		if ctx.Err() != nil {
			return
		}
		a.watchWanted.Store(false)
		a.engine.Deliver(api.BackendUpdate{Kind: api.UpdateUnavailable})
	}
}

// requestWatch takes the policy's request for changes, or for none. If there is a watch already another one is opened
// beside it, as that one may stay silent for ever.
func (a *Agent) requestWatch(on bool) {
	if a.watchWanted.Swap(on) && on {
		notify(a.endpoints.watchChanged)
		return
	}
	notify(a.watchRequested)
}

// receiveDiscoveryLine takes one line of a watch; an empty one is a heartbeat.
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

// waitUntilWatchWanted waits until the policy has requested a watch; false says that the context has ended.
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

// fetchBackends gets the whole list once and passes it on.
func (a *Agent) fetchBackends(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	list, err := a.fetchList(ctx)
	if err != nil {
		a.log.Warn("fetch_failed", "error", err)
		a.engine.Deliver(api.BackendUpdate{Kind: api.UpdateUnavailable})
		return
	}
	list.update.Kind = api.UpdateSnapshot
	a.applyList(list)
}

func (a *Agent) fetchList(ctx context.Context) (*backendList, error) {
	resp, err := httpGet(ctx, a.control, a.endpoints.discovery(), membersPath)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxLineSize))
	if err != nil {
		return nil, err
	}
	return parseBackendList(text, a.engine.StartTime())
}
