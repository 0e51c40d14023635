package lore

import (
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/boot"
)

// Pulse is what an appliance says of itself.
//
//easyjson:json
type Pulse struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Version   string `json:"version"`
	Capacity  int    `json:"capacity"`
	Phase     string `json:"phase"`
	WarmLeft  string `json:"warmLeft"`
	CallCount int64  `json:"callCount"`
}

// Phases of an appliance. The last two are ours: nothing was heard of it for some pulses; it has signed off.
const (
	Ready    = "ready"
	Emptying = "emptying"
	Silent   = "silent"
	Left     = "left"
)

// App is an appliance as agents know it.
//
//easyjson:json
type App struct {
	Service  string `json:"s"`
	Address  string `json:"a"`
	Zone     string `json:"z"`
	Build    string `json:"v"`
	Capacity int    `json:"c"`
	Phase    string `json:"p"`
	Warm     int64  `json:"w"` // Unix milliseconds from which it is warm, by the clock of Home
	Home     string `json:"h"` // the agent that its pulses reach
	Heard    int64  `json:"t"` // Unix milliseconds of the pulse
}

// Lease is an agent's membership as its grantor knows it.
//
//easyjson:json
type Lease struct {
	Node  string `json:"n"`
	Role  string `json:"r"`
	Zone  string `json:"z"`
	Front string `json:"f"` // where clients reach it; empty while it is not ready or leaving
	Home  string `json:"h"` // the agent that grants it
	Ended bool   `json:"e,omitempty"`
}

// mostFields bounds the texts of a pulse, in bytes.
const mostFields = 512

// ReadPulse reads and checks a pulse.
func ReadPulse(data []byte) (*Pulse, error) {
	p := &Pulse{}
	if err := easyjson.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "the pulse can't be read")
	}
	if at, err := netip.ParseAddrPort(p.Address); err != nil || at.Port() == 0 {
		return nil, errors.Errorf("address: %q: want an IP number and a port", p.Address)
	}
	switch {
	case p.Service == "" || p.Zone == "":
		return nil, errors.New("service, zone: missing")
	case len(p.Service)+len(p.Zone)+len(p.Version) > mostFields:
		return nil, errors.New("service, zone, version: too long")
	case p.Phase != Ready && p.Phase != Emptying:
		return nil, errors.Errorf("phase: %q is neither ready nor emptying", p.Phase)
	case p.Capacity < 1 || p.Capacity > math.MaxInt16:
		return nil, errors.Errorf("capacity: %d: want 1 to %d", p.Capacity, math.MaxInt16)
	case p.CallCount < 0 || p.CallCount > 1<<52:
		return nil, errors.New("callCount: out of range")
	}
	if p.WarmLeft == "" {
		p.WarmLeft = "0ms"
	}
	if _, err := boot.Span(p.WarmLeft); err != nil {
		return nil, errors.Wrap(err, "warmLeft")
	}
	return p, nil
}

// News says whether a pulse has to be told to others, and the item to tell. A pulse that only says again what is known is
// kept by the agent that hears it; of the last of them others need to know nothing.
func News(id string, p *Pulse, held *App, home string, now time.Time) (Item, *App, bool) {
	left, _ := boot.Span(p.WarmLeft)
	a := &App{Service: p.Service, Address: p.Address, Zone: p.Zone, Build: p.Version, Capacity: p.Capacity, Phase: p.Phase,
		Home: home, Heard: now.UnixMilli()}
	if left > 0 {
		a.Warm = now.Add(left).UnixMilli()
	}
	if held != nil {
		was, wasAt := *held, held.Warm
		was.Warm, was.Heard = a.Warm, a.Heard
		moved := a.Warm != 0 && abs(a.Warm-wasAt) > warmSlack.Milliseconds() || a.Warm == 0 && wasAt > a.Heard+warmSlack.Milliseconds()
		if was == *a && !moved {
			return Item{}, a, false
		}
	}
	return a.item(id, Version(p.CallCount, false)), a, true
}

// warmSlack is by how much the end of a warm-up may move without being news.
const warmSlack = 250 * time.Millisecond

// Version is the version of an appliance's item: its count of calls, and behind it the word that none followed.
func Version(count int64, silent bool) uint64 {
	v := uint64(count) << 1
	if silent {
		v |= 1
	}
	return v
}

// LeftVersion is the last version of a life: no pulse that comes late goes before it.
const LeftVersion = uint64(1) << 62

func (a *App) item(id string, version uint64) Item {
	b, _ := easyjson.Marshal(a)
	return Item{Key: AppKey + id, Version: version, Body: string(b)}
}

// WithPhase is the item of a life that has fallen silent or has left.
func (a App) WithPhase(id, phase string, version uint64) Item {
	a.Phase = phase
	return a.item(id, version)
}

// Fallen is the item of a life that has fallen silent behind its last word. One that was leaving is gone: as a silent one
// it might get work again.
func (a App) Fallen(id string, version uint64) Item {
	if a.Phase == Emptying {
		return a.WithPhase(id, Left, version|1)
	}
	return a.WithPhase(id, Silent, version|1)
}

// ReadApp reads the body of an appliance's item.
func ReadApp(it Item) (*App, bool) {
	a := &App{}
	return a, easyjson.Unmarshal([]byte(it.Body), a) == nil
}

// ReadLease reads the body of a lease's item.
func ReadLease(it Item) (*Lease, bool) {
	l := &Lease{}
	return l, easyjson.Unmarshal([]byte(it.Body), l) == nil
}

// Item is a lease as others are told of it.
func (l *Lease) Item(version uint64) Item {
	b, _ := easyjson.Marshal(l)
	return Item{Key: LeaseKey + l.Node + "/" + l.Role, Version: version, Body: string(b)}
}

// Tally is what one agent has seen of a release: attempts and payoffs of both builds, and bad answers of the trial.
//
//easyjson:json
type Tally struct {
	Agent   string     `json:"n"` // and its life: another life is another writer
	Number  uint64     `json:"r"`
	Tried   [2]float64 `json:"t"`
	Paid    [2]float64 `json:"p"`
	Faults  [2]float64 `json:"f"`
	Sent    float64    `json:"s"` // requests sent to the trial, with those whose outcome is open
	Reached float64    `json:"d"` // requests that reached the service since the order
	Busy    [2]float64 `json:"u"` // outcomes and payoffs of the trial while all its requests went to one appliance
	Vote    string     `json:"o,omitempty"`
}

// Item is a tally as others are told of it.
func (t *Tally) Item(service string, version uint64) Item {
	b, _ := easyjson.Marshal(t)
	return Item{Key: TrialKey + service + "/" + t.Agent, Version: version, Body: string(b)}
}

// ReadTally reads the body of a tally's item.
func ReadTally(it Item) (*Tally, bool) {
	t := &Tally{}
	return t, easyjson.Unmarshal([]byte(it.Body), t) == nil
}

func abs(x int64) int64 {
	if x < 0 {
		return -x
	}
	return x
}

// Row is what an agent has out at an appliance that leaves.
//
//easyjson:json
type Row struct {
	ID       string `json:"i"`
	Harmless int    `json:"h"`
	Risky    int    `json:"r"`
}
