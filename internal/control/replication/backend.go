package replication

import "github.com/mailru/easyjson"

//go:generate go tool easyjson $GOFILE

// Phase is a backend's state of service, in the protocol's words. The empty Phase stands for an unknown backend.
type Phase string

// Phases of a backend. It says itself that it is ready or draining; its owner adds the other two.
const (
	PhaseReady    Phase = "ready"
	PhaseDraining Phase = "emptying" // it finishes its requests and gets no new ones
	PhaseTimedOut Phase = "silent"   // its heartbeats have stopped
	PhaseLeft     Phase = "left"     // it has signed off
)

// Backend is an incarnation of a backend, as it is replicated.
//
//easyjson:json
type Backend struct {
	Service     string `json:"s"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	Version     string `json:"v"` // of its build
	Capacity    int    `json:"c"` // requests that it processes at once
	Phase       Phase  `json:"p"`
	WarmUpEndMs int64  `json:"w"` // when its warm-up ends: Unix milliseconds, by the clock of Owner; 0: it is warm
	Owner       string `json:"h"` // the controller that receives its heartbeats
	HeartbeatMs int64  `json:"t"` // when Owner received the last published heartbeat: Unix milliseconds
}

// timedOutBit marks the version of an item that says that no heartbeat followed.
const timedOutBit = 1

// LeftVersion is the version of the item of a backend that has left. It is above that of every heartbeat, so that one
// that arrives late does not prevail.
const LeftVersion = uint64(1) << 62

// BackendVersion returns the version of a backend's item: it rises with the call count of the heartbeat, and between
// two heartbeats with the time-out that follows the first.
func BackendVersion(callCount int64, timedOut bool) uint64 {
	version := uint64(callCount) << 1
	if timedOut {
		version |= timedOutBit
	}
	return version
}

func (b *Backend) item(id string, version uint64) Item {
	body, _ := easyjson.Marshal(b) // strings and integers always encode
	return Item{Key: BackendKeyPrefix + id, Version: version, Body: string(body)}
}

// ItemWithPhase returns the item of the backend in another phase.
func (b Backend) ItemWithPhase(id string, phase Phase, version uint64) Item {
	b.Phase = phase
	return b.item(id, version)
}

// TimedOut returns the item of the backend after its heartbeats have stopped, given the version of its last item. One
// that was draining counts as left: a backend that has timed out might get work again.
func (b Backend) TimedOut(id string, version uint64) Item {
	phase := PhaseTimedOut
	if b.Phase == PhaseDraining {
		phase = PhaseLeft
	}
	return b.ItemWithPhase(id, phase, version|timedOutBit)
}

// ReadBackend reads the body of a backend's item. ok is false if it can't be read; the backend is never nil.
func ReadBackend(item Item) (backend *Backend, ok bool) {
	backend = &Backend{}
	err := easyjson.Unmarshal([]byte(item.Body), backend)
	return backend, err == nil
}

// BackendInFlight is the number of requests that a proxy has in flight at a backend that is draining.
//
//easyjson:json
type BackendInFlight struct {
	BackendID     string `json:"i"`
	Idempotent    int    `json:"h"`
	NonIdempotent int    `json:"r"`
}
