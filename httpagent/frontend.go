package httpagent

import (
	"net/http"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/internal/tcp"
	"sagelever/match"
)

// This file is the interface for other protocols on the same agent, such as package ws: routing by path, backend
// updates, the engine, and connection tracking.

// BackendEndpoint is the address and availability of a backend.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // it may receive attempts
}

// Mount registers a handler for a path. It must be called before Run.
func (a *Agent) Mount(path string, h http.Handler) {
	if a.mounts == nil {
		a.mounts = map[string]http.Handler{}
	}
	a.mounts[path] = h
}

// OnBackends registers f to be called with each change to the backend list, before the policy receives it. It must be
// called before Run, and f must not block.
func (a *Agent) OnBackends(f func([]BackendEndpoint)) { a.onBackends = f }

// announceBackends reports the entries of a list to the OnBackends callback. Backends that are missing from a snapshot
// are reported as gone. A backend that has restarted or has a different build under the same ID is reported as gone
// first, then as new.
func (a *Agent) announceBackends(list *backendList) {
	if a.onBackends == nil {
		return
	}
	var changes []BackendEndpoint
	named := map[api.BackendID]bool{}
	for _, entry := range list.update.Backends {
		named[entry.ID] = true
		old, known := a.announced[entry.ID]
		if known && (entry.State != api.StateUp || old.Build != entry.Build || old.Started != entry.Started) {
			changes = append(changes, BackendEndpoint{ID: entry.ID})
			delete(a.announced, entry.ID)
		}
		if entry.State == api.StateUp {
			changes = append(changes, BackendEndpoint{entry.ID, list.addresses[entry.ID], true})
			a.announced[entry.ID] = entry
		}
	}
	if list.update.Kind != api.UpdateIncremental {
		for id := range a.announced {
			if !named[id] {
				changes = append(changes, BackendEndpoint{ID: id})
				delete(a.announced, id)
			}
		}
	}
	a.onBackends(changes)
}

// Engine returns the agent's engine.
func (a *Agent) Engine() *engine.Engine { return a.engine }

// Judge returns the operator's rules, or nil if there are none.
func (a *Agent) Judge() match.Judge {
	if rules := a.rules.Load(); rules != nil {
		return *rules
	}
	return nil
}

// Deployment returns the deployment that the operator's rules are compiled against.
func (a *Agent) Deployment() match.Deployment { return a.deployment }

// Timeouts returns the default timeout of a workload's clients, and the longest timeout of any client.
func (a *Agent) Timeouts(workload string) (timeout, maximum time.Duration) {
	return setting(a.station, "workload."+workload+".abandon", time.Second), a.longestTimeout()
}

// AnswerGrace returns how long after its deadline a transaction may still be answered.
func (a *Agent) AnswerGrace() time.Duration {
	return setting(a.station, "answer.slack", time.Duration(0))
}

// TrackUpgraded registers the hijacked connection of a request. Until release is called, the connection counts towards
// the client connection limits, and Run waits for it on shutdown.
func (a *Agent) TrackUpgraded(r *http.Request) (release func()) {
	conn := tcp.ConnFrom(r.Context())
	a.upgraded.Add(1)
	return func() {
		a.clientConns.remove(conn)
		a.upgraded.Done()
	}
}

// Stopping returns a channel that is closed when shutdown begins.
func (a *Agent) Stopping() <-chan struct{} { return a.stopped }
