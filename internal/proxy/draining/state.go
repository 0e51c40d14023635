package draining

import "strings"

// State is the state of a backend as tracked by one proxy.
type State uint8

// The states of a backend. The package comment lists the transitions.
const (
	Serving  State = iota // the backend gets new requests
	Draining              // the backend gets no new requests; some requests of this proxy are still in flight
	Drained               // the backend gets no new requests; no requests of this proxy are in flight
	Ended                 // the backend's incarnation has ended; it never gets a request again
)

// String returns the state's name.
func (s State) String() string { return [...]string{"serving", "draining", "drained", "ended"}[s] }

// Reasons is the set of reasons for which a backend gets no new requests. It is empty while the backend serves.
type Reasons uint8

// The reasons. Several may apply at the same time.
const (
	SelfReported  Reasons = 1 << iota // the backend's heartbeat reports that it drains
	ZoneEvacuated                     // the backend's zone is evacuated
	OperatorDrain                     // an operator drains the backend, its service in its zone, or its zone
	BuildRetired                      // the backend's build was rolled back or is no longer the stable one
)

// String returns the names of the reasons, separated by commas.
func (r Reasons) String() string {
	var names []string
	for i, name := range []string{"reported by the backend", "zone evacuated", "operator drain", "build retired"} {
		if r&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}
