package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// request is the record of one request of a client.
type request struct {
	id              string
	proxy           string // name
	nonIdempotent   bool
	sentAt          time.Time // after its connection was established
	endedAt         time.Time
	status          int // 0 without a response
	complete        bool
	matches         bool // the response belongs to this request
	responseStarted bool // at least the first byte of a response arrived
	aborted         bool // the client aborted the request
	timedOut        bool // the client's deadline had passed, or was about to pass

	// How often the backends completed and aborted its execution, set at the end of the run.
	completedRuns, abortedRuns int
	drops                      int // how often a backend received it and answered nothing; set at the end of the run
}

// interval is a range of time that includes both ends.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool { return !i.from.After(to) && !i.to.Before(from) }

// disturbances are the intervals in which requests may be lost because a proxy was killed or frozen or a backend was
// killed.
type disturbances struct {
	proxies  map[string][]interval // by name
	backends []interval
}

// ofProxy reports whether a request overlaps with a disturbance of its proxy, which may have caused its loss.
func (d *disturbances) ofProxy(r *request) bool { return anyOverlaps(d.proxies[r.proxy], r) }

// ofBackends reports whether a request overlaps with a disturbance of any backend, which may have cut off its response.
func (d *disturbances) ofBackends(r *request) bool { return anyOverlaps(d.backends, r) }

func anyOverlaps(disturbed []interval, r *request) bool {
	return slices.ContainsFunc(disturbed, func(i interval) bool { return i.overlaps(r.sentAt, r.endedAt) })
}

// guaranteesNotExecuted reports whether a status guarantees that the request was not executed.
func guaranteesNotExecuted(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRequest returns a description of the guarantee that a request violates, or "".
func checkRequest(r *request, disturbed *disturbances) string {
	if text := checkRuns(r); text != "" {
		return text
	}
	if r.complete {
		return checkResponse(r)
	}
	if r.aborted || r.timedOut || disturbed.ofProxy(r) {
		return ""
	}
	switch {
	case r.drops > 0 && !r.responseStarted:
		return "sent to a silent backend, and the connection closed without a response"
	case disturbed.ofBackends(r):
		return ""
	case r.responseStarted:
		return "the response was cut off"
	case r.completedRuns+r.abortedRuns > 0:
		return "executed, and the connection closed without a response"
	}
	return ""
}

// checkRuns checks that a non-idempotent request was executed at most once, and not at all if the response guarantees
// this.
func checkRuns(r *request) string {
	if !r.nonIdempotent {
		return ""
	}
	runs := r.completedRuns + r.abortedRuns
	switch {
	case runs > 1:
		return fmt.Sprintf("executed %d times, though not idempotent", runs)
	case r.complete && guaranteesNotExecuted(r.status) && runs > 0:
		return fmt.Sprintf("executed, though %d promises that it was not", r.status)
	}
	return ""
}

// checkResponse checks a complete response.
func checkResponse(r *request) string {
	switch {
	case r.status/100 == 2 && !r.matches:
		return "the response is another request's"
	case r.status/100 == 2 && r.completedRuns == 0:
		return "reported as done, and never executed"
	case r.status >= 300 && r.status < 500 && !guaranteesNotExecuted(r.status):
		return fmt.Sprintf("a valid request got %d", r.status)
	}
	return ""
}

// Bounds on the propagation of an acknowledged change to the proxies.
const (
	// notFoundBound is how long after its acknowledgement a route may still get a 404, regardless of disturbances: a
	// proxy whose configuration may lack the route must respond with 503.
	notFoundBound = 3 * time.Second

	// propagationBound is how long a change may take to reach a proxy while the proxy and the controllers are
	// undisturbed.
	propagationBound = 4 * time.Second
)

// routeState is the state of a route as far as operators know it.
type routeState struct {
	version   uint64
	service   string // "" if the route is removed
	ackedAt   time.Time
	presentAt time.Time // acknowledgement of the first version since which the route has existed without interruption
	uncertain bool      // a newer version was sent but not acknowledged
}

// probe is a request to one proxy for a route that operators change.
type probe struct {
	proxy            string
	route            string
	want             routeState // state when the probe was sent
	sentAt           time.Time
	status           int       // 0 without a response
	service          string    // service of the backend that responded
	undisturbedSince time.Time // end of the last trouble of the proxy or a controller
	stateChanged     bool      // the state of the route changed while the probe was in flight
}

// checkProbe returns a description of the guarantee that a probe violates, or "".
func checkProbe(p *probe) string {
	if p.want.uncertain || p.stateChanged || p.want.ackedAt.IsZero() {
		return ""
	}
	age := p.sentAt.Sub(p.want.ackedAt)
	settled := min(age, p.sentAt.Sub(p.undisturbedSince)) > propagationBound
	switch {
	case p.want.service != "" && p.status == http.StatusNotFound && p.sentAt.Sub(p.want.presentAt) > notFoundBound:
		return fmt.Sprintf("404 for version %d, acknowledged %v before, there since %v before", p.want.version,
			age.Round(time.Millisecond), p.sentAt.Sub(p.want.presentAt).Round(time.Millisecond))
	case p.want.service == "" && p.status/100 == 2 && settled:
		return fmt.Sprintf("served, though version %d removed it %v before", p.want.version, age.Round(time.Millisecond))
	case p.want.service != "" && p.status/100 == 2 && p.service != p.want.service && settled:
		return fmt.Sprintf("served by %s, though version %d, acknowledged %v before, says %s",
			p.service, p.want.version, age.Round(time.Millisecond), p.want.service)
	}
	return ""
}
