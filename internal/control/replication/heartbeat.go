package replication

import (
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/settings"
)

//go:generate go tool easyjson $GOFILE

// Heartbeat is what a backend says of itself.
//
//easyjson:json
type Heartbeat struct {
	Service    string `json:"service"`
	Address    string `json:"address"` // IP address and port
	Zone       string `json:"zone"`
	Version    string `json:"version"`   // of its build
	Capacity   int    `json:"capacity"`  // requests that it processes at once
	Phase      Phase  `json:"phase"`     // PhaseReady or PhaseDraining
	WarmUpLeft string `json:"warmLeft"`  // the rest of its warm-up, as a duration; empty: none
	CallCount  int64  `json:"callCount"` // rises with every heartbeat of an incarnation
}

const (
	// maxTextBytes bounds the texts of a heartbeat together.
	maxTextBytes = 512
	maxCapacity  = math.MaxInt16
	maxCallCount = 1 << 52
)

// ParseHeartbeat reads and checks a heartbeat.
func ParseHeartbeat(data []byte) (*Heartbeat, error) {
	heartbeat := &Heartbeat{}
	if err := easyjson.Unmarshal(data, heartbeat); err != nil {
		return nil, errors.Wrap(err, "the heartbeat can't be read")
	}
	if heartbeat.WarmUpLeft == "" {
		heartbeat.WarmUpLeft = "0ms"
	}
	if err := heartbeat.validate(); err != nil {
		return nil, err
	}
	return heartbeat, nil
}

func (h *Heartbeat) validate() error {
	if address, err := netip.ParseAddrPort(h.Address); err != nil || address.Port() == 0 {
		return errors.Errorf("address: %q: want an IP number and a port", h.Address)
	}
	switch {
	case h.Service == "" || h.Zone == "":
		return errors.New("service, zone: missing")
	case len(h.Service)+len(h.Zone)+len(h.Version) > maxTextBytes:
		return errors.New("service, zone, version: too long")
	case h.Phase != PhaseReady && h.Phase != PhaseDraining:
		return errors.Errorf("phase: %q is neither ready nor emptying", h.Phase)
	case h.Capacity < 1 || h.Capacity > maxCapacity:
		return errors.Errorf("capacity: %d: want 1 to %d", h.Capacity, maxCapacity)
	case h.CallCount < 0 || h.CallCount > maxCallCount:
		return errors.New("callCount: out of range")
	}
	if _, err := settings.ParseDuration(h.WarmUpLeft); err != nil {
		return errors.Wrap(err, "warmLeft")
	}
	return nil
}

// warmUpTolerance is by how much the end of a warm-up may move without being published again.
const warmUpTolerance = 250 * time.Millisecond

// UpdateFromHeartbeat returns the backend with an ID after a heartbeat that its owner received now, given what was
// known of it, or nil. If anything but the time of the heartbeat has changed, changed is true and item is to be
// published: only the owner needs to know the time of the last heartbeat.
func UpdateFromHeartbeat(
	id string, heartbeat *Heartbeat, known *Backend, owner string, now time.Time,
) (item Item, backend *Backend, changed bool) {
	backend = newBackend(heartbeat, owner, now)
	if known != nil && !backend.differs(known) {
		return Item{}, backend, false
	}
	return backend.item(id, BackendVersion(heartbeat.CallCount, false)), backend, true
}

func newBackend(heartbeat *Heartbeat, owner string, now time.Time) *Backend {
	backend := &Backend{
		Service:     heartbeat.Service,
		Address:     heartbeat.Address,
		Zone:        heartbeat.Zone,
		Version:     heartbeat.Version,
		Capacity:    heartbeat.Capacity,
		Phase:       heartbeat.Phase,
		Owner:       owner,
		HeartbeatMs: now.UnixMilli(),
	}
	warmUpLeft, _ := settings.ParseDuration(heartbeat.WarmUpLeft) // was checked when the heartbeat was parsed
	if warmUpLeft > 0 {
		backend.WarmUpEndMs = now.Add(warmUpLeft).UnixMilli()
	}
	return backend
}

// differs reports whether a backend differs from what was known of it, but for the time of the heartbeat and for a
// small shift of the end of its warm-up.
func (b *Backend) differs(known *Backend) bool {
	expected := *known
	expected.WarmUpEndMs = b.WarmUpEndMs
	expected.HeartbeatMs = b.HeartbeatMs
	return expected != *b || b.warmUpMoved(known.WarmUpEndMs)
}

func (b *Backend) warmUpMoved(knownWarmAtMs int64) bool {
	tolerance := warmUpTolerance.Milliseconds()
	if b.WarmUpEndMs == 0 { // it says that it is warm
		return knownWarmAtMs > b.HeartbeatMs+tolerance
	}
	return max(b.WarmUpEndMs-knownWarmAtMs, knownWarmAtMs-b.WarmUpEndMs) > tolerance
}
