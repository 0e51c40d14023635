package httpagent

import (
	"net"
	"net/http"
	"time"

	"sagelever/agent"
	"sagelever/engine"
	"sagelever/match"
)

// What another front of the same agent needs: its requests by path, the list, the engine, and the account of connections.

// Place is where an appliance is.
type Place struct {
	ID      agent.ApplianceID
	Address string
	Up      bool // it may get sends
}

// Mount hands requests for a path to another front. Call it before Run.
func (a *Agent) Mount(path string, h http.Handler) {
	if a.mounted == nil {
		a.mounted = map[string]http.Handler{}
	}
	a.mounted[path] = h
}

// OnList has each list told as it comes, before the module hears of it. Call it before Run; f returns at once.
func (a *Agent) OnList(f func([]Place)) { a.onList = f }

// places tells other fronts of a list: the lines that it names, and what a whole list has left out. What runs anew, or
// another build under an old id, is told as gone first: it is another machine.
func (a *Agent) places(l *list) {
	if a.onList == nil {
		return
	}
	var told []Place
	named := map[agent.ApplianceID]bool{}
	for _, x := range l.news.Entries {
		named[x.ID] = true
		old, known := a.placed[x.ID]
		if known && (x.Standing != agent.Up || old.Build != x.Build || old.Started != x.Started) {
			told = append(told, Place{ID: x.ID})
			delete(a.placed, x.ID)
		}
		if x.Standing == agent.Up {
			told = append(told, Place{x.ID, l.addresses[x.ID], true})
			a.placed[x.ID] = x
		}
	}
	for id := range a.placed {
		if l.news.Kind != agent.Changes && !named[id] {
			told = append(told, Place{ID: id})
			delete(a.placed, id)
		}
	}
	a.onList(told)
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

// Abandon is when a workload's clients give up, and the longest that anybody waits here.
func (a *Agent) Abandon(workload string) (each, most time.Duration) {
	return term(a.station, "workload."+workload+".abandon", time.Second), a.longest()
}

// Slack is how late the rules let a final answer be.
func (a *Agent) Slack() time.Duration { return term(a.station, "answer.slack", time.Duration(0)) }

// Upgraded counts a connection that has been taken over until it is released: among the clients' connections, and
// among what the agent's end waits for.
func (a *Agent) Upgraded(r *http.Request) (release func()) {
	c, _ := r.Context().Value(doorKey{}).(net.Conn)
	a.guests.Add(1)
	return func() {
		a.doors.release(c)
		a.guests.Done()
	}
}

// Leaving is closed when the agent has been told to stop.
func (a *Agent) Leaving() <-chan struct{} { return a.left }
