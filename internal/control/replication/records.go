package replication

import (
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/settings"
)

// Heartbeat is what an appliance says of itself.
//
//easyjson:json
type Heartbeat struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Capacity   int    `json:"capacity"`
	Phase      string `json:"phase"`
	WarmUpLeft string `json:"warmLeft"`
	CallCount  int64  `json:"callCount"`
}

// Phases of an appliance. The last two are ours: nothing was heard of it for some pulses; it has signed off.
const (
	PhaseReady    = "ready"
	PhaseDraining = "emptying"
	PhaseTimedOut = "silent"
	PhaseLeft     = "left"
)

// Backend is an appliance as agents know it.
//
//easyjson:json
type Backend struct {
	Service     string `json:"s"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	Version     string `json:"v"`
	Capacity    int    `json:"c"`
	Phase       string `json:"p"`
	WarmAtMs    int64  `json:"w"` // Unix milliseconds from which it is warm, by the clock of Home
	Owner       string `json:"h"` // the agent that its pulses reach
	HeartbeatMs int64  `json:"t"` // Unix milliseconds of the pulse
}

// Lease is an agent's membership as its grantor knows it.
//
//easyjson:json
type Lease struct {
	Node          string `json:"n"`
	Role          string `json:"r"`
	Zone          string `json:"z"`
	ListenAddress string `json:"f"` // where clients reach it; empty while it is not ready or leaving
	Grantor       string `json:"h"` // the agent that grants it
	Ended         bool   `json:"e,omitempty"`
}

// maxTextBytes bounds the texts of a pulse, in bytes.
const maxTextBytes = 512

// ParseHeartbeat reads and checks a pulse.
func ParseHeartbeat(data []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := easyjson.Unmarshal(data, heartbeat); err != nil {
		return nil, errors.Wrap(err, "the pulse can't be read")
	}
	if address, err := netip.ParseAddrPort(heartbeat.Address); err != nil || address.Port() == 0 {
		return nil, errors.Errorf("address: %q: want an IP number and a port", heartbeat.Address)
	}
	switch {
	case heartbeat.Service == "" || heartbeat.Zone == "":
		return nil, errors.New("service, zone: missing")
	case len(heartbeat.Service)+len(heartbeat.Zone)+len(heartbeat.Version) > maxTextBytes:
		return nil, errors.New("service, zone, version: too long")
	case heartbeat.Phase != PhaseReady && heartbeat.Phase != PhaseDraining:
		return nil, errors.Errorf("phase: %q is neither ready nor emptying", heartbeat.Phase)
	case heartbeat.Capacity < 1 || heartbeat.Capacity > math.MaxInt16:
		return nil, errors.Errorf("capacity: %d: want 1 to %d", heartbeat.Capacity, math.MaxInt16)
	case heartbeat.CallCount < 0 || heartbeat.CallCount > 1<<52:
		return nil, errors.New("callCount: out of range")
	}
	if heartbeat.WarmUpLeft == "" {
		heartbeat.WarmUpLeft = "0ms"
	}
	if _, err := settings.ParseDuration(heartbeat.WarmUpLeft); err != nil {
		return nil, errors.Wrap(err, "warmLeft")
	}
	return heartbeat, nil
}

// UpdateFromHeartbeat says whether a pulse has to be told to others, and the item to tell. A pulse that only says again what is known is
// kept by the agent that hears it; of the last of them others need to know nothing.
func UpdateFromHeartbeat(id string, heartbeat *Heartbeat, known *Backend, owner string, now time.Time) (Item, *Backend, bool) {
	warmUpLeft, _ := settings.ParseDuration(heartbeat.WarmUpLeft)
	backend := &Backend{Service: heartbeat.Service, Address: heartbeat.Address, Zone: heartbeat.Zone, Version: heartbeat.Version, Capacity: heartbeat.Capacity, Phase: heartbeat.Phase,
		Owner: owner, HeartbeatMs: now.UnixMilli()}
	if warmUpLeft > 0 {
		backend.WarmAtMs = now.Add(warmUpLeft).UnixMilli()
	}
	if known != nil {
		previous, previousWarmMs := *known, known.WarmAtMs
		previous.WarmAtMs, previous.HeartbeatMs = backend.WarmAtMs, backend.HeartbeatMs
		warmUpMoved := backend.WarmAtMs != 0 && abs(backend.WarmAtMs-previousWarmMs) > warmUpTolerance.Milliseconds() || backend.WarmAtMs == 0 && previousWarmMs > backend.HeartbeatMs+warmUpTolerance.Milliseconds()
		if previous == *backend && !warmUpMoved {
			return Item{}, backend, false
		}
	}
	return backend.item(id, BackendVersion(heartbeat.CallCount, false)), backend, true
}

// warmUpTolerance is by how much the end of a warm-up may move without being news.
const warmUpTolerance = 250 * time.Millisecond

// BackendVersion is the version of an appliance's item: its count of calls, and behind it the word that none followed.
func BackendVersion(callCount int64, timedOut bool) uint64 {
	version := uint64(callCount) << 1
	if timedOut {
		version |= 1
	}
	return version
}

// LeftVersion is the last version of a life: no pulse that comes late goes before it.
const LeftVersion = uint64(1) << 62

func (a *Backend) item(id string, version uint64) Item {
	body, _ := easyjson.Marshal(a)
	return Item{Key: BackendKey + id, Version: version, Body: string(body)}
}

// ItemWithPhase is the item of a life that has fallen silent or has left.
func (a Backend) ItemWithPhase(id, phase string, version uint64) Item {
	a.Phase = phase
	return a.item(id, version)
}

// TimedOut is the item of a life that has fallen silent behind its last word. One that was leaving is gone: as a silent one
// it might get work again.
func (a Backend) TimedOut(id string, version uint64) Item {
	if a.Phase == PhaseDraining {
		return a.ItemWithPhase(id, PhaseLeft, version|1)
	}
	return a.ItemWithPhase(id, PhaseTimedOut, version|1)
}

// ReadBackend reads the body of an appliance's item.
func ReadBackend(item Item) (*Backend, bool) {
	backend := &Backend{}
	return backend, easyjson.Unmarshal([]byte(item.Body), backend) == nil
}

// ReadLease reads the body of a lease's item.
func ReadLease(item Item) (*Lease, bool) {
	lease := &Lease{}
	return lease, easyjson.Unmarshal([]byte(item.Body), lease) == nil
}

// Item is a lease as others are told of it.
func (l *Lease) Item(version uint64) Item {
	body, _ := easyjson.Marshal(l)
	return Item{Key: LeaseKey + l.Node + "/" + l.Role, Version: version, Body: string(body)}
}

// ReleaseTally is what one agent has seen of a release: attempts and payoffs of both builds, and bad answers of the trial.
//
//easyjson:json
type ReleaseTally struct {
	Reporter         string     `json:"n"` // and its life: another life is another writer
	ReleaseNumber    uint64     `json:"r"`
	Attempts         [2]float64 `json:"t"`
	Payoffs          [2]float64 `json:"p"`
	Failures         [2]float64 `json:"f"`
	NewBuildRequests float64    `json:"s"` // requests sent to the trial, with those whose outcome is open
	ServiceRequests  float64    `json:"d"` // requests that reached the service since the order
	SingleBackend    [2]float64 `json:"u"` // outcomes and payoffs of the trial while all its requests went to one appliance
	Vote             string     `json:"o,omitempty"`
}

// Item is a tally as others are told of it.
func (t *ReleaseTally) Item(service string, version uint64) Item {
	body, _ := easyjson.Marshal(t)
	return Item{Key: ReleaseTallyKey + service + "/" + t.Reporter, Version: version, Body: string(body)}
}

// ReadReleaseTally reads the body of a tally's item.
func ReadReleaseTally(item Item) (*ReleaseTally, bool) {
	tally := &ReleaseTally{}
	return tally, easyjson.Unmarshal([]byte(item.Body), tally) == nil
}

func abs(x int64) int64 {
	if x < 0 {
		return -x
	}
	return x
}

// BackendInFlight is what an agent has out at an appliance that leaves.
//
//easyjson:json
type BackendInFlight struct {
	BackendID     string `json:"i"`
	Idempotent    int    `json:"h"`
	NonIdempotent int    `json:"r"`
}
