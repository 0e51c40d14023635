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

// membersPath is the path of the backend list at discovery.
const membersPath = "/catalog/members"

// discoveryInstance is the JSON encoding of one entry in discovery's list.
type discoveryInstance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // since the Unix epoch; 0 if unknown
	Build       int     `json:"build"`
}

// discoveryList is the JSON encoding of a backend list: a full list if Reset is set, otherwise the changed entries.
type discoveryList struct {
	Generation *int64              `json:"generation"`
	Reset      bool                `json:"reset"`
	Instances  []discoveryInstance `json:"instances"`
}

// backendList is a list as delivered to the policy, with the backends' addresses, which the policy does not use.
type backendList struct {
	update    api.BackendUpdate
	addresses map[api.BackendID]string
}

// backendID returns the ID of an instance. It must be the same at every agent, as agents exchange IDs in messages.
func backendID(instance string) api.BackendID {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, instance) // Hash.Write never returns an error
	return api.BackendID(hash.Sum32())
}

var backendStates = map[string]api.BackendState{
	"in_service":  api.StateUp,
	"terminating": api.StateDraining,
	"terminated":  api.StateGone,
}

// parseBackendList parses a discoveryList. Times in the result are relative to startedAt, the start of this agent.
func parseBackendList(text []byte, startedAt time.Time) (*backendList, error) {
	var parsed discoveryList
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, err
	}
	if parsed.Generation == nil || parsed.Instances == nil {
		return nil, fmt.Errorf("generation or instances are missing: %.200q", text)
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

// backend validates an entry and converts it to the policy's type.
func (i discoveryInstance) backend(startedAt time.Time) (api.Backend, error) {
	state, ok := backendStates[i.Lifecycle]
	if !ok || i.InstanceID == "" || i.Weight < 0 || i.StartedAtMs < 0 {
		return api.Backend{}, fmt.Errorf("invalid entry: %+v", i)
	}
	if _, _, err := net.SplitHostPort(i.HostPort); err != nil && state == api.StateUp {
		return api.Backend{}, fmt.Errorf("entry %q has invalid address %q", i.InstanceID, i.HostPort)
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

// applyList applies a list to the backend clients and then delivers it to the policy, which may start attempts
// immediately and needs the addresses. A list that is not newer than the last one is ignored: it comes from an older
// watch, or from a discovery replica that lags behind.
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

// watchTimeout is three times the longest silence of a working watch. A watch that stays silent for longer is
// considered broken and another one is opened, which does no harm if discovery itself is down.
const watchTimeout = 6 * time.Second

// watchDiscovery watches discovery for changes since the last version read. If changes are not pushed, it watches only
// while the policy requests it.
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

// requestWatch starts or stops the watch at the policy's request. If a watch is already open, another one is opened in
// parallel, as the existing one may never deliver anything again.
func (a *Agent) requestWatch(on bool) {
	if a.watchWanted.Swap(on) && on {
		notify(a.endpoints.watchChanged)
		return
	}
	notify(a.watchRequested)
}

// receiveDiscoveryLine handles one line of a watch. An empty line is a heartbeat.
func (a *Agent) receiveDiscoveryLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	list, err := parseBackendList(line, a.engine.StartTime())
	if err != nil {
		return fmt.Errorf("invalid line: %w", err)
	}
	a.applyList(list)
	return nil
}

// waitUntilWatchWanted waits until the policy requests a watch. It returns false if ctx is canceled first.
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

// fetchBackends fetches the full list once and applies it.
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
