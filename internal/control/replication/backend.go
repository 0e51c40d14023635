package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// Phase is a phase in the life of a backend. The values are those of the protocol. The empty Phase stands for a backend
// that is not known.
type Phase string

// Phases of a backend. The backend reports in its heartbeats whether it is ready or draining; its owner sets the other
// two phases.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "emptying" // it completes its requests and gets no new ones
	PhaseTimedOut Phase = "silent"   // its heartbeats have stopped
	PhaseLeft     Phase = "left"     // it has deregistered
)

// Backend is the replicated state of an incarnation of a backend.
//
//easyjson:json
type Backend struct {
	Service     string `json:"s"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	Version     string `json:"v"` // of its build
	Capacity    int    `json:"c"` // requests that it processes concurrently
	Phase       Phase  `json:"p"`
	WarmUpEndMs int64  `json:"w"` // end of its warm-up: Unix milliseconds, by the clock of Owner; 0 if it is warm
	Owner       string `json:"h"` // the controller that receives its heartbeats
	HeartbeatMs int64  `json:"t"` // when Owner received the last published heartbeat: Unix milliseconds
}

// timedOutBit is set in the version of an item that records a timeout.
const timedOutBit = 1

// LeftVersion is the version of the item of a backend that has left. It is above the version of every heartbeat, so
// that a late heartbeat does not supersede the item.
const LeftVersion = uint64(1) << 62

// BackendVersion returns the version of a backend's item. Versions are ordered by the call count of the latest
// heartbeat. The version of a timeout lies between those of the last heartbeat before it and of the next one.
func BackendVersion(callCount int64, timedOut bool) uint64 {
	version := uint64(callCount) << 1
	if timedOut {
		version |= timedOutBit
	}
	return version
}

func (b *Backend) item(id string, version uint64) Item {
	body, _ := easyjson.Marshal(b) // cannot fail: the fields are strings and integers
	return Item{Key: BackendKeyPrefix + id, Version: version, Body: string(body)}
}

// ItemWithPhase returns the item of the backend with another phase.
func (b Backend) ItemWithPhase(id string, phase Phase, version uint64) Item {
	b.Phase = phase
	return b.item(id, version)
}

// TimedOut returns the item of the backend after its heartbeats have stopped, given the version of its last item. A
// backend that was draining is marked as left, because one in PhaseTimedOut might get requests again.
func (b Backend) TimedOut(id string, version uint64) Item {
	phase := PhaseTimedOut
	if b.Phase == PhaseDraining {
		phase = PhaseLeft
	}
	return b.ItemWithPhase(id, phase, version|timedOutBit)
}

// ReadBackend decodes the body of a backend's item. It returns ok = false if the body is invalid; the backend is never
// nil.
func ReadBackend(item Item) (backend *Backend, ok bool) {
	backend = &Backend{}
	err := easyjson.Unmarshal([]byte(item.Body), backend)
	return backend, err == nil
}

// BackendInFlight counts the requests that a proxy has in flight at a draining backend.
//
//easyjson:json
type BackendInFlight struct {
	BackendID     string `json:"i"`
	Idempotent    int    `json:"h"`
	NonIdempotent int    `json:"r"`
}
