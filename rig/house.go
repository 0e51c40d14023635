package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/boot"
	"sagelever/helm"
	"sagelever/relay"
	"sagelever/steward"
)

// Options of a house.
type Options struct {
	Nodes    int // relays, spread over the zones
	Backends int // appliances, half of each service, spread over the zones
	Seed     uint64
	Load     float64       // of the room that all appliances have
	Work     time.Duration // the mean of a run
	Empty    time.Duration // for which an appliance serves on after it has said that it leaves
	Pulse    time.Duration
	Warm     time.Duration // for which one that comes is cold
	Leeway   time.Duration // that a process has to end in
	Bound    time.Duration // after a notice within which new work may still arrive
	Fault    Fault
	Folder   string // for the stewards' state
	Log      *zap.Logger
}

// zones of the house: three regions of two, as the operators have.
var (
	zoneNames = []string{"a1", "b1", "c1", "a2", "b2", "c2"}
	zones     = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
)

// Services of the house, and what they are asked for.
var Services = []string{"flags", "filings"}

// House is a whole system.
type House struct {
	o      Options
	net    string
	Ledger *Ledger
	mu     sync.Mutex
	lives  int
	ops    atomic.Int64 // what clients have wanted
	apps   map[string]*App
	agents map[string]*agent // relays and stewards by name
	ended  chan error
}

type agent struct {
	start func() (run func(context.Context) error, err error)
	stop  context.CancelFunc
	ended chan struct{}
}

const (
	peerPort, lastPort                              = 21300, 21301
	controlPort, directoryPort, frontPort, readPort = "21302", "21303", "21304", "21305"
)

// houses counts those of this process: each has loopback addresses of its own.
var houses atomic.Uint32

// Open starts the stewards and the relays; no appliance serves yet.
func Open(o Options) (*House, error) {
	h := &House{o: o, Ledger: NewLedger(), apps: map[string]*App{}, agents: map[string]*agent{}, ended: make(chan error, 64),
		net: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 100+houses.Add(1)%150)}
	for i, zone := range zoneNames {
		if err := h.add(fmt.Sprint("steward-", zone), func() (func(context.Context) error, error) {
			s, err := steward.New(steward.Options{Settings: h.settings(fmt.Sprint("core-", zone), i, zone), PerZone: 1, Log: o.Log, Dial: h.dial(zone)})
			if err != nil {
				return nil, err
			}
			return s.Run, nil
		}); err != nil {
			return h, err
		}
	}
	for i := range o.Nodes {
		zone := zoneNames[i%len(zoneNames)]
		if err := h.add(fmt.Sprint("relay-", i), func() (func(context.Context) error, error) {
			return relay.New(relay.Options{Settings: h.settings(fmt.Sprint("edge-", i), i, zone), Log: o.Log, Dial: h.dial(zone)}).Run, nil
		}); err != nil {
			return h, err
		}
	}
	return h, nil
}

// ip is an address of the house; the first ones are the machines'.
func (h *House) ip(i int) string { return fmt.Sprint(h.net, 2+i) }

func (h *House) control(zone string) string {
	for i, z := range zoneNames {
		if z == zone {
			return net.JoinHostPort(h.ip(i), controlPort)
		}
	}
	return ""
}

// Contacts are the stewards' addresses.
func (h *House) Contacts() (out []string) {
	for _, z := range zoneNames {
		out = append(out, h.control(z))
	}
	return out
}

func (h *House) settings(node string, i int, zone string) *boot.Settings {
	ip := h.ip(i)
	s := &boot.Settings{Node: node, IP: ip, Zone: zone, Region: zones[zone], Zones: zones, SparePorts: []int{peerPort, lastPort},
		Listens:       map[string]string{"control": ip + ":" + controlPort, "directory": ip + ":" + directoryPort, "front": ip + ":" + frontPort, "readyCheck": ip + ":" + readPort},
		FirstContacts: h.Contacts()[:3], FreshStart: true, DataFolder: filepath.Join(h.o.Folder, node), Withstand: boot.Withstand{HostsLost: 1, Zones: 1, Regions: 1}}
	s.Bounds = boot.Bounds{Pulse: h.o.Pulse, Empty: h.o.Empty, Leeway: h.o.Leeway, LongestValid: 2 * time.Second, RetryPeriod: 10 * time.Second,
		RetryShare: 0.2, ExtraTries: 64, WarmUpExcess: 1.5, WarmUpLeeway: 5, BadShare: 0.1, BadLeeway: 50}
	return s
}

// dial plays the way between zones, by the address of the machine that is called.
func (h *House) dial(from string) steward.Dial {
	d := &net.Dialer{Timeout: time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(address)
		for i := range max(len(zoneNames), h.o.Nodes) {
			if h.ip(i) == host {
				if way := between(zones, from, zoneNames[i%len(zoneNames)]); way > 0 {
					return Delayed(c, way), nil
				}
			}
		}
		return c, nil
	}
}

func (h *House) add(name string, start func() (func(context.Context) error, error)) error {
	h.mu.Lock()
	h.agents[name] = &agent{start: start}
	h.mu.Unlock()
	return h.Start(name)
}

// Start starts an agent that is not running.
func (h *House) Start(name string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.agents[name]
	run, err := a.start()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	a.stop, a.ended = stop, ended
	go func() {
		defer close(ended)
		if err := run(ctx); err != nil && ctx.Err() == nil {
			h.ended <- fmt.Errorf("%s: %w", name, err)
		}
	}()
	return nil
}

// Stop ends an agent in order, as a SIGTERM does.
func (h *House) Stop(name string) {
	h.mu.Lock()
	a := h.agents[name]
	h.mu.Unlock()
	a.stop()
	<-a.ended
}

// Restart stops an agent in order and starts it again.
func (h *House) Restart(name string) error {
	h.Stop(name)
	return h.Start(name)
}

// Close ends all.
func (h *House) Close() {
	h.mu.Lock()
	var wg sync.WaitGroup
	for _, a := range h.agents {
		if a.stop == nil {
			continue
		}
		a.stop()
		wg.Add(1)
		go func() { defer wg.Done(); <-a.ended }()
	}
	apps := make([]*App, 0, len(h.apps))
	for _, a := range h.apps {
		apps = append(apps, a)
	}
	h.mu.Unlock()
	for _, a := range apps {
		a.Kill()
	}
	wg.Wait()
}

// Broken is an agent that has ended by itself; nil while there is none.
func (h *House) Broken() error {
	select {
	case err := <-h.ended:
		return err
	default:
		return nil
	}
}

// Helm is an operator.
func (h *House) Helm() *helm.Client { return helm.New(h.Contacts()) }

// Configure brings in the services and their routes, and waits until every relay is ready.
func (h *House) Configure(ctx context.Context) error {
	type item map[string]any
	var items []item
	put := func(kind, name string, body item) {
		items = append(items, item{"type": kind, "metadata": item{"name": name, "version": "00000001"}, "body": body})
	}
	for _, s := range Services {
		put("services", s, item{"checkPath": "/health", "maxLinks": 130, "warmUp": h.o.Warm.String(), "warmingRateS": 5})
		for path, kind := range map[string]string{"/look/": "harmless", "/change/": "risky"} {
			put("routes", s+path[:5], item{"host": s + ".example", "pathStart": path, "kind": kind, "giveUp": deadline.String(), "target_time": "1s", "service": s, "tries": 3})
		}
	}
	put("limits", "", item{"headSizeBytes": 16384, "bodySizeBytes": 1 << 20, "headWait": "3s", "quiet": "15s"})
	body, err := json.Marshal(map[string]any{"putItems": map[string]any{"items": items}})
	if err != nil {
		return err
	}
	if err := h.Helm().Call(ctx, "settings.change", "", body, nil); err != nil {
		return err
	}
	for i := range h.o.Nodes {
		for !h.ready(i) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return errors.New("not every relay became ready")
			}
		}
	}
	return nil
}

func (h *House) ready(i int) bool {
	resp, err := http.Get("http://" + net.JoinHostPort(h.ip(i), readPort) + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Apps are the appliances of a service that serve now.
func (h *House) Apps(service string) (out []*App) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.apps {
		if a.Service == service && !a.leaving {
			out = append(out, a)
		}
	}
	return out
}
