// Package hollow is a testbed for sizes that one machine can't hold whole: real members of the core, and real relays where
// they are asked for, each as a process of its own on loopback, beside many hollow agents and appliances in one process.
// The hollow ones speak the real messages over real sockets and carry no traffic. What each role sends, receives and uses
// is read from its own connections and its own process.
package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"sagelever/boot"
	"sagelever/ebb"
	"sagelever/helm"
	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
)

// Options are the size of a testbed.
type Options struct {
	Members    int // of the core, one in each zone; at least three
	Relays     int // real ones, each a process
	Agents     int // hollow ones
	Appliances int
	Routes     int
	Tenants    int
	Batch      int           // items in one call that loads the configuration
	LoadLimit  time.Duration // for all of these calls
	Changes    int           // made one after another once all is calm
	Settle     time.Duration // for which leases and first pulses go round before the calm part: longer than a pull of a member
	For        time.Duration // how long the calm part is measured
	Pulse      time.Duration // of the appliances
	Empty      time.Duration // as the platform's settings have it: it bounds how long a pull waits
	Launch     Launch
	Folder     string // for the members' state and the settings files
}

// Ports of the real processes: the same on all machines, as the platform has it, and below those that the system gives out.
const (
	peerPort, lastPort                               = 21300, 21301
	controlPort, directoryPort, frontPort, readyPort = "21302", "21303", "21304", "21305"
	firstRelay                                       = 120 // last byte of the first real relay's address; members begin at 2
	mostMembers                                      = 100
	firstPulls                                       = 32 // hollow agents that are handed all at one time
)

// startLimit is for how long the start of the core, and of agents each, is waited for.
const startLimit = 2 * time.Minute

// beds counts the testbeds of this process: each has loopback addresses of its own.
var beds atomic.Uint32

// Bed is a running testbed.
type Bed struct {
	o          Options
	network    string // the first three bytes of its addresses
	zones      []string
	regions    map[string]string // by zone
	members    []*Process
	relays     []*Process
	agents     []*Agent
	appliances []*Appliance
	watch      *Watch
	version    uint64 // of the newest change
	stop       context.CancelFunc
	running    sync.WaitGroup
}

// Open starts the core and waits until it takes calls.
func Open(ctx context.Context, o Options) (*Bed, error) {
	if o.Members < 3 || o.Members > mostMembers || o.Relays > mostMembers || o.Batch < 1 {
		return nil, errors.Errorf("want 3 to %d members, at most %d relays and a batch of one or more", mostMembers, mostMembers)
	}
	b := &Bed{o: o, network: fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 250+beds.Add(1)%5), regions: map[string]string{},
		watch: newWatch(plan.Key(plan.Routes, probeRoute)), stop: func() {}}
	for i := range o.Members {
		zone := fmt.Sprintf("%c%d", 'a'+i%3, 1+i/3) // three regions, as the users' sites have
		b.zones = append(b.zones, zone)
		b.regions[zone] = zone[:1]
	}
	for i := range o.Members {
		process, err := b.launch(RoleMember, i, b.zones[i])
		if err != nil {
			return b, err
		}
		b.members = append(b.members, process)
	}
	return b, b.takesCalls(ctx)
}

// launch writes a settings file as the platform does and starts a process with it.
func (b *Bed) launch(role string, i int, zone string) (*Process, error) {
	ip := b.address(i)
	if role == RoleRelay {
		ip = b.address(firstRelay - 2 + i)
	}
	node := fmt.Sprintf("%s-%d", role, i)
	settings := boot.Settings{Node: node, Role: role, IP: ip, Zone: zone, Region: b.regions[zone], Zones: b.regions, SparePorts: []int{peerPort, lastPort},
		Listens: map[string]string{"control": net.JoinHostPort(ip, controlPort), "directory": net.JoinHostPort(ip, directoryPort),
			"front": net.JoinHostPort(ip, frontPort), "readyCheck": net.JoinHostPort(ip, readyPort)},
		FirstContacts: b.contacts()[:3], FreshStart: true, DataFolder: filepath.Join(b.o.Folder, node), Pulse: span(b.o.Pulse),
		Withstand: boot.Withstand{HostsLost: 1, Zones: 1, Regions: 1}, LimitsTable: []string{"empty=" + span(b.o.Empty), "ttl_max=5s", "leeway=1s"}}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(settings.DataFolder, 0o755); err != nil {
		return nil, err
	}
	file := filepath.Join(b.o.Folder, node+".json")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, err
	}
	return b.o.Launch(role, file)
}

// span writes a time as the platform does.
func span(d time.Duration) string { return fmt.Sprint(d.Milliseconds(), "ms") }

func (b *Bed) address(i int) string { return fmt.Sprint(b.network, 2+i) }

// contacts are the members' addresses for appliances and operators.
func (b *Bed) contacts() (out []string) {
	for i := range b.o.Members {
		out = append(out, net.JoinHostPort(b.address(i), controlPort))
	}
	return out
}

// sources are the members' addresses for agents, from one on: that of the agent's own zone comes first.
func (b *Bed) sources(first int) (out []string) {
	for i := range b.o.Members {
		out = append(out, net.JoinHostPort(b.address((first+i)%b.o.Members), fmt.Sprint(peerPort)))
	}
	return out
}

// takesCalls waits until every member answers that it hears most of the core.
func (b *Bed) takesCalls(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, contact := range b.contacts() {
		if err := helm.New([]string{contact}).Call(ctx, "settings.read", "", nil, nil); err != nil {
			return errors.Wrap(err, "the core does not take calls")
		}
	}
	return nil
}

// StartAgents starts the real relays and the hollow agents, and waits until each was told all; it tells how long that took.
func (b *Bed) StartAgents(ctx context.Context) (time.Duration, error) {
	begun := time.Now()
	for i := range b.o.Relays {
		process, err := b.launch(RoleRelay, i, b.zones[i%len(b.zones)])
		if err != nil {
			return 0, err
		}
		b.relays = append(b.relays, process)
	}
	work, stop := context.WithCancel(context.Background())
	b.stop = stop
	permits := make(chan struct{}, firstPulls)
	for i := range b.o.Agents {
		zone := i % len(b.zones)
		member := replica.Member{Node: fmt.Sprint("hollow-", i), Zone: b.zones[zone]}
		agent := newAgent(member, fmt.Sprintf("10.%d.%d.%d:%s", zone, i>>8, i&0xff, frontPort), b.sources(zone), ebb.Wait(b.o.Empty), b.watch)
		b.agents = append(b.agents, agent)
		b.running.Go(func() { agent.run(work, permits) })
	}
	for i := range b.o.Appliances {
		zone := i % len(b.zones)
		pulse := lore.Pulse{Service: serviceName(i % b.services()), Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+zone, i>>8, i&0xff), Zone: b.zones[zone],
			Version: "v1", Capacity: 3, Phase: lore.Ready, WarmLeft: "0ms"}
		appliance := newAppliance(fmt.Sprintf("i-%08x", i), pulse, net.JoinHostPort(b.address(zone), controlPort), b.o.Pulse)
		b.appliances = append(b.appliances, appliance)
		delay := b.o.Pulse * time.Duration(i) / time.Duration(b.o.Appliances)
		b.running.Go(func() { appliance.run(work, delay) })
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if !until(ctx, func() bool { whole, heard := b.started(); return whole == len(b.agents) && heard == len(b.appliances) }) {
		whole, heard := b.started()
		return time.Since(begun), errors.Errorf("not in time: %d of %d agents were told all, %d of %d appliances heard", whole, len(b.agents), heard, len(b.appliances))
	}
	return time.Since(begun), nil
}

// started counts the agents that were told all, and the appliances that were acknowledged.
func (b *Bed) started() (whole, heard int) {
	for _, agent := range b.agents {
		if agent.whole.Load() {
			whole++
		}
	}
	for _, appliance := range b.appliances {
		if appliance.acked.Load() > 0 {
			heard++
		}
	}
	return whole, heard
}

// until waits for a condition, and tells whether it came about.
func until(ctx context.Context, so func() bool) bool {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !so() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Close ends all.
func (b *Bed) Close() error {
	b.stop()
	b.running.Wait()
	var failed error
	var ending sync.WaitGroup
	var mu sync.Mutex
	for _, process := range append(b.relays, b.members...) {
		ending.Go(func() {
			if err := process.End(); err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	ending.Wait()
	return failed
}
