package httpagent

import (
	"net"
	"net/http"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/match"
)

// This file has what another protocol on the same agent needs, such as package ws: requests by path, the list of
// backends, the engine, and the account of connections.

// BackendEndpoint is where a backend is.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // it may get attempts
}

// Mount hands the requests for a path to a handler. It is called before Run.
func (a *Agent) Mount(path string, h http.Handler) {
	if a.mounts == nil {
		a.mounts = map[string]http.Handler{}
	}
	a.mounts[path] = h
}

// OnBackends has f called with each change of the list, before the policy hears of it. It is called before Run; f
// returns at once.
func (a *Agent) OnBackends(f func([]BackendEndpoint)) { a.onBackends = f }

// announceBackends announces the entries of a list, and those that a snapshot has left out as gone. A backend that has
// restarted, or has another build under an old id, is another one and is announced as gone first.
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

// Engine is the agent's engine.
func (a *Agent) Engine() *engine.Engine { return a.engine }

// Judge is the operator's rules, nil if there are none.
func (a *Agent) Judge() match.Judge {
	if rules := a.rules.Load(); rules != nil {
		return *rules
	}
	return nil
}

// Deployment is what the operator's rules have to fit.
func (a *Agent) Deployment() match.Deployment { return a.deployment }

// Timeouts returns how long a workload's clients wait, and the longest that any client may.
func (a *Agent) Timeouts(workload string) (timeout, maximum time.Duration) {
	return setting(a.station, "workload."+workload+".abandon", time.Second), a.longestTimeout()
}

// AnswerGrace is how late the rules let a final answer be.
func (a *Agent) AnswerGrace() time.Duration {
	return setting(a.station, "answer.slack", time.Duration(0))
}

// TrackUpgraded counts the connection of a request, which has been taken over, until it is released: among the clients'
// connections, and among what Run waits for in the end.
func (a *Agent) TrackUpgraded(r *http.Request) (release func()) {
	conn, _ := r.Context().Value(clientConnKey{}).(net.Conn)
	a.upgraded.Add(1)
	return func() {
		a.clientConns.remove(conn)
		a.upgraded.Done()
	}
}

// Stopping is closed when the agent has been told to stop.
func (a *Agent) Stopping() <-chan struct{} { return a.stopped }
