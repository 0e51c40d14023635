package draining

import "strings"

// State is the state of a backend at one proxy.
type State uint8

// The states of a backend. The package comment has the transitions.
const (
	Serving  State = iota // it gets new requests
	Draining              // it gets no new requests; some of this proxy's are still in flight
	Drained               // it gets no new requests, and none of this proxy's are in flight
	Ended                 // its incarnation is over: it never gets a request again
)

// String returns the state's name.
func (s State) String() string { return [...]string{"serving", "draining", "drained", "ended"}[s] }

// Reasons is the set of reasons for which a backend gets no new requests. The empty set means that it serves.
type Reasons uint8

// The reasons; several may hold at once.
const (
	SelfReported  Reasons = 1 << iota // its heartbeat says that it is draining
	ZoneEvacuated                     // its zone is evacuated
	OperatorDrain                     // an operator drains it, its service in its zone, or its zone
	BuildRetired                      // its build was rolled back, or is no longer the stable one
)

// String lists the reasons, separated by commas.
func (r Reasons) String() string {
	var names []string
	for i, name := range []string{"reported by the backend", "zone evacuated", "operator drain", "build retired"} {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}
