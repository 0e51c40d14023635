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

// Heartbeat is the state that a backend reports to a controller.
//
//easyjson:json
type Heartbeat struct {
	Service    string `json:"service"`
	Address    string `json:"address"` // IP address and port
	Zone       string `json:"zone"`
	Version    string `json:"version"`   // of its build
	Capacity   int    `json:"capacity"`  // requests that it processes concurrently
	Phase      Phase  `json:"phase"`     // PhaseReady or PhaseDraining
	WarmUpLeft string `json:"warmLeft"`  // remaining duration of its warm-up; empty if it is warm
	CallCount  int64  `json:"callCount"` // increases with every heartbeat of an incarnation
}

const (
	// maxTextBytes bounds the total size of service, zone and version.
	maxTextBytes = 512
	maxCapacity  = math.MaxInt16
	maxCallCount = 1 << 52
)

// ParseHeartbeat decodes and validates a heartbeat.
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

// warmUpTolerance is the largest shift of the end of a warm-up that is not published.
const warmUpTolerance = 250 * time.Millisecond

// UpdateFromHeartbeat returns the state of a backend after a heartbeat that its owner received now. previous is its
// state before, or nil if the backend is new. If the state has changed (see differs), changed is true and the item must
// be published. The time of the heartbeat alone is not published, as only the owner uses it.
func UpdateFromHeartbeat(
	id string, heartbeat *Heartbeat, previous *Backend, owner string, now time.Time,
) (item Item, backend *Backend, changed bool) {
	backend = newBackend(heartbeat, owner, now)
	if previous != nil && !backend.differs(previous) {
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
	warmUpLeft, _ := settings.ParseDuration(heartbeat.WarmUpLeft) // cannot fail: ParseHeartbeat has validated it
	if warmUpLeft > 0 {
		backend.WarmUpEndMs = now.Add(warmUpLeft).UnixMilli()
	}
	return backend
}

// differs reports whether a backend differs from its previous state. It ignores the time of the heartbeat, and shifts
// of the end of the warm-up by up to warmUpTolerance.
func (b *Backend) differs(previous *Backend) bool {
	expected := *previous
	expected.WarmUpEndMs = b.WarmUpEndMs
	expected.HeartbeatMs = b.HeartbeatMs
	return expected != *b || b.warmUpEndMoved(previous.WarmUpEndMs)
}

func (b *Backend) warmUpEndMoved(previousEndMs int64) bool {
	tolerance := warmUpTolerance.Milliseconds()
	if b.WarmUpEndMs == 0 { // the backend reports that it is warm
		return previousEndMs > b.HeartbeatMs+tolerance
	}
	return max(b.WarmUpEndMs-previousEndMs, previousEndMs-b.WarmUpEndMs) > tolerance
}
