package soak

import (
	"fmt"
	"net/http"
	"time"
)

// request is the record of one request of a client.
type request struct {
	id            string
	proxy         string // its name
	nonIdempotent bool
	sentAt        time.Time // when its connection was up
	endedAt       time.Time
	status        int // 0 without a response
	complete      bool
	matches       bool // the response is this request's
	answered      bool // some part of a response came
	left          bool // the client broke it off
	outOfTime     bool // the client's time was over, or nearly

	// What the backends say of it, filled in at the end.
	completedRuns, abortedRuns int
}

// interval is a span of time.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool { return !i.from.After(to) && !i.to.Before(from) }

// disturbances are the times in which requests may be lost: a proxy was killed or frozen, or a backend was gone without a
// word.
type disturbances struct {
	proxies  map[string][]interval
	backends []interval
}

// excuses reports whether a request may have been lost by a disturbance.
func (d *disturbances) excuses(r *request) bool {
	for _, disturbed := range d.proxies[r.proxy] {
		if disturbed.overlaps(r.sentAt, r.endedAt) {
			return true
		}
	}
	for _, disturbed := range d.backends {
		if disturbed.overlaps(r.sentAt, r.endedAt) {
			return true
		}
	}
	return false
}

// promisesNoRun reports whether a status promises that the request was not executed.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// judgeRequest returns which guarantee a request shows to be broken, or "".
func judgeRequest(r *request, disturbed *disturbances) string {
	if text := judgeRuns(r); text != "" {
		return text
	}
	if r.complete {
		return judgeResponse(r)
	}
	if r.left || r.outOfTime || disturbed.excuses(r) {
		return ""
	}
	switch {
	case r.answered:
		return "the response was cut off"
	case r.completedRuns+r.abortedRuns > 0:
		return "executed, and the connection closed without a response"
	}
	return ""
}

// judgeRuns compares how often a request was executed with what it may be and with what its client was told.
func judgeRuns(r *request) string {
	if !r.nonIdempotent {
		return ""
	}
	runs := r.completedRuns + r.abortedRuns
	switch {
	case runs > 1:
		return fmt.Sprintf("executed %d times, though not idempotent", runs)
	case r.complete && promisesNoRun(r.status) && runs > 0:
		return fmt.Sprintf("executed, though %d promises that it was not", r.status)
	}
	return ""
}

// judgeResponse judges a complete response.
func judgeResponse(r *request) string {
	switch {
	case r.status/100 == 2 && !r.matches:
		return "the response is another request's"
	case r.status/100 == 2 && r.completedRuns == 0:
		return "reported as done, and never executed"
	case r.status >= 300 && r.status < 500 && !promisesNoRun(r.status):
		return fmt.Sprintf("a valid request got %d", r.status)
	}
	return ""
}

// Bounds within which a change is in force everywhere.
const (
	// denyBound is how long after its acknowledgement a route may still get a 404, whatever happens meanwhile: a proxy
	// that can't know it says 503.
	denyBound = 3 * time.Second

	// calmBound is within which a change is in force at a proxy that is undisturbed, while the controllers are.
	calmBound = 4 * time.Second
)

// routeState is what an operator knows of a route of its own.
type routeState struct {
	version   uint64
	service   string // "" where the route was removed
	ackedAt   time.Time
	presentAt time.Time // when the first version was acknowledged since which the route is there
	uncertain bool      // a newer version was sent, and is not acknowledged
}

// probe is a request for an operator's route at one proxy.
type probe struct {
	proxy       string
	route       string
	want        routeState // as it was when the probe was sent, and when it ended
	sentAt      time.Time
	status      int    // 0 without a response
	service     string // of the backend that has answered
	calmSince   time.Time
	heldAnother bool // the route's state has changed meanwhile
}

// judgeProbe returns which guarantee a probe shows to be broken, or "".
func judgeProbe(p *probe) string {
	if p.want.uncertain || p.heldAnother || p.want.ackedAt.IsZero() {
		return ""
	}
	age := p.sentAt.Sub(p.want.ackedAt)
	calm := min(age, p.sentAt.Sub(p.calmSince)) > calmBound
	switch {
	case p.want.service != "" && p.status == http.StatusNotFound && p.sentAt.Sub(p.want.presentAt) > denyBound:
		return fmt.Sprintf("404 for version %d, acknowledged %v before, there since %v before", p.want.version,
			age.Round(time.Millisecond), p.sentAt.Sub(p.want.presentAt).Round(time.Millisecond))
	case p.want.service == "" && p.status/100 == 2 && calm:
		return fmt.Sprintf("served, though version %d removed it %v before", p.want.version, age.Round(time.Millisecond))
	case p.want.service != "" && p.status/100 == 2 && p.service != p.want.service && calm:
		return fmt.Sprintf("served by %s, though version %d, acknowledged %v before, says %s",
			p.service, p.want.version, age.Round(time.Millisecond), p.want.service)
	}
	return ""
}
