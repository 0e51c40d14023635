package httpagent

import (
	"net"
	"net/http"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/match"
)

// What another front of the same agent needs: its requests by path, the list, the engine, and the account of connections.

// BackendEndpoint is where an appliance is.
type BackendEndpoint struct {
	ID        api.BackendID
	Address   string
	Available bool // it may get sends
}

// Mount hands requests for a path to another front. Call it before Run.
func (a *Agent) Mount(path string, h http.Handler) {
	if a.mounts == nil {
		a.mounts = map[string]http.Handler{}
	}
	a.mounts[path] = h
}

// OnBackends has each list told as it comes, before the module hears of it. Call it before Run; f returns at once.
func (a *Agent) OnBackends(f func([]BackendEndpoint)) { a.onBackends = f }

// announceBackends tells other fronts of a list: the lines that it names, and what a whole list has left out. What runs anew, or
// another build under an old id, is told as gone first: it is another machine.
func (a *Agent) announceBackends(l *backendList) {
	if a.onBackends == nil {
		return
	}
	var changes []BackendEndpoint
	named := map[api.BackendID]bool{}
	for _, entry := range l.update.Backends {
		named[entry.ID] = true
		old, known := a.announced[entry.ID]
		if known && (entry.State != api.StateUp || old.Build != entry.Build || old.Started != entry.Started) {
			changes = append(changes, BackendEndpoint{ID: entry.ID})
			delete(a.announced, entry.ID)
		}
		if entry.State == api.StateUp {
			changes = append(changes, BackendEndpoint{entry.ID, l.addresses[entry.ID], true})
			a.announced[entry.ID] = entry
		}
	}
	for id := range a.announced {
		if l.update.Kind != api.UpdateIncremental && !named[id] {
			changes = append(changes, BackendEndpoint{ID: id})
			delete(a.announced, id)
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

// Deployment is what rules have to fit.
func (a *Agent) Deployment() match.Deployment { return a.deployment }

// Timeouts is when a workload's clients give up, and the longest that anybody waits here.
func (a *Agent) Timeouts(workload string) (timeout, maximum time.Duration) {
	return setting(a.station, "workload."+workload+".abandon", time.Second), a.longestTimeout()
}

// AnswerGrace is how late the rules let a final answer be.
func (a *Agent) AnswerGrace() time.Duration {
	return setting(a.station, "answer.slack", time.Duration(0))
}

// TrackUpgraded counts a connection that has been taken over until it is released: among the clients' connections, and
// among what the agent's end waits for.
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
