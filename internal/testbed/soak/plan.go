package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/testbed/cluster"
)

// Kind is a kind of trouble.
type Kind string

// The kinds of trouble. Those of processes concern the nodes of a target.
const (
	Reload       Kind = "reload"         // SIGHUP
	Restart      Kind = "restart"        // SIGTERM, and a start once the process has ended
	Kill         Kind = "kill"           // SIGKILL, and a start after the trouble's duration
	Freeze       Kind = "freeze"         // SIGSTOP, and SIGCONT after the duration
	Wipe         Kind = "wipe"           // of a controller: SIGKILL, and a start with an empty disk
	KillAfterAck Kind = "kill-after-ack" // SIGKILL of the target within a few milliseconds of the next acknowledgement
	BackendKill  Kind = "backend-kill"   // a backend is gone, and another one starts at its address after the duration
	BackendDrain Kind = "backend-drain"  // a backend leaves in order, another one starts
	BackendCold  Kind = "backend-cold"   // a backend warms up anew
	BackendSwap  Kind = "backend-swap"   // a backend is gone, and one of the other service starts at its address
	BigOrder     Kind = "big-order"      // thousands of routes in one call
)

// Target says which nodes a trouble concerns.
type Target string

// The targets.
const (
	OneProxy       Target = "proxy"
	SomeProxies    Target = "some-proxies" // a third
	AllProxies     Target = "proxies"
	OneController  Target = "controller"
	TwoControllers Target = "two-controllers"
	AllControllers Target = "controllers"
	AllNodes       Target = "all"
)

// someProxiesDivisor is which part of the proxies SomeProxies is: one in so many.
const someProxiesDivisor = 3

// Trouble is one entry of a plan.
type Trouble struct {
	At     time.Duration `json:"at"`
	Kind   Kind          `json:"kind"`
	Target Target        `json:"target,omitempty"`
	Index  int           `json:"index,omitempty"` // of the first node or backend concerned, modulo their number
	For    time.Duration `json:"for,omitempty"`
}

// String returns the entry as a line of a plan.
func (t Trouble) String() string {
	text := fmt.Sprintf("%7.2f s  %-14s", t.At.Seconds(), t.Kind)
	if t.Target != "" {
		text += fmt.Sprintf(" %s %d", t.Target, t.Index)
	}
	if t.For > 0 {
		text += fmt.Sprintf(" for %v", t.For)
	}
	return text
}

// Plan is what happens in a run.
type Plan struct {
	Seed     uint64        `json:"seed"`
	For      time.Duration `json:"for"` // how long troubles come
	Proxies  int           `json:"proxies"`
	Backends int           `json:"backends"`
	Troubles []Trouble     `json:"troubles"`
}

// Bounds of a plan.
const (
	maxProxies  = 200 // with the controllers, a few hundred processes at most
	maxBackends = 120
	maxDuration = 2 * time.Hour

	// wipePause is the least pause between two losses of a disk: the member is to have caught up by then.
	wipePause = 15 * time.Second
)

// Check returns an error that names what is wrong with a plan.
func (p Plan) Check() error {
	switch {
	case p.For <= 0 || p.For > maxDuration:
		return errors.Errorf("--for: %v, want more than 0 and %v at most", p.For, maxDuration)
	case p.Proxies < 1 || p.Proxies > maxProxies:
		return errors.Errorf("--proxies: %d, want 1 to %d", p.Proxies, maxProxies)
	case p.Backends < 2 || p.Backends > maxBackends:
		return errors.Errorf("--backends: %d, want 2 to %d", p.Backends, maxBackends)
	}
	lastWipe := -wipePause
	for i, trouble := range p.Troubles {
		if err := trouble.check(); err != nil {
			return errors.Wrapf(err, "trouble %d", i+1)
		}
		if trouble.Kind != Wipe {
			continue
		}
		if trouble.At-lastWipe < wipePause {
			return errors.Errorf("trouble %d: a disk is lost within %v of another one", i+1, wipePause)
		}
		lastWipe = trouble.At
	}
	return nil
}

// targetsOf lists the targets that a kind of trouble may have; none for those that concern no process.
var targetsOf = map[Kind][]Target{
	Reload:       {OneProxy, SomeProxies, AllProxies, OneController, AllControllers, AllNodes},
	Restart:      {OneProxy, SomeProxies, AllProxies, OneController, TwoControllers, AllControllers, AllNodes},
	Kill:         {OneProxy, SomeProxies, AllProxies, OneController, TwoControllers, AllControllers, AllNodes},
	Freeze:       {OneProxy, SomeProxies, OneController, TwoControllers},
	Wipe:         {OneController},
	KillAfterAck: {TwoControllers, AllControllers, AllNodes},
	BackendKill:  nil,
	BackendDrain: nil,
	BackendCold:  nil,
	BackendSwap:  nil,
	BigOrder:     nil,
}

func (t Trouble) check() error {
	targets, known := targetsOf[t.Kind]
	switch {
	case !known:
		return errors.Errorf("unknown kind %q", t.Kind)
	case targets == nil && t.Target != "":
		return errors.Errorf("%s has no target", t.Kind)
	case targets != nil && !slices.Contains(targets, t.Target):
		return errors.Errorf("%s can't concern %q", t.Kind, t.Target)
	case t.At < 0 || t.For < 0 || t.Index < 0:
		return errors.New("a negative time or index")
	}
	return nil
}

// lane is a sequence of troubles of some kinds. The lanes of a plan go on beside each other, so that their troubles
// overlap.
type lane struct {
	kinds       []Kind
	targets     func(rng *rand.Rand, kind Kind) Target
	leastPause  time.Duration
	meanPause   time.Duration // beyond the least
	longestTime time.Duration
}

func anyTarget(rng *rand.Rand, kind Kind) Target {
	targets := targetsOf[kind]
	if len(targets) == 0 {
		return ""
	}
	return targets[rng.IntN(len(targets))]
}

func targetAmong(targets ...Target) func(*rand.Rand, Kind) Target {
	return func(rng *rand.Rand, _ Kind) Target { return targets[rng.IntN(len(targets))] }
}

// lanes are the sequences of a drawn plan.
var lanes = []lane{
	{kinds: []Kind{Reload, Restart, Kill, Freeze, Restart}, targets: targetAmong(OneProxy, SomeProxies),
		meanPause: 2 * time.Second, longestTime: 2 * time.Second},
	{kinds: []Kind{Reload, Restart, Kill, Freeze}, targets: targetAmong(OneController),
		leastPause: time.Second, meanPause: 3 * time.Second, longestTime: 2 * time.Second},
	{kinds: []Kind{BackendKill, BackendDrain, BackendCold, BackendSwap}, targets: anyTarget,
		meanPause: 3 * time.Second, longestTime: 2 * time.Second},
	{kinds: []Kind{KillAfterAck, KillAfterAck, Kill, Restart, Reload}, targets: targetAmong(AllControllers, AllNodes),
		leastPause: 5 * time.Second, meanPause: 4 * time.Second, longestTime: 2 * time.Second},
	{kinds: []Kind{Wipe}, targets: anyTarget,
		leastPause: wipePause, meanPause: 10 * time.Second, longestTime: time.Second},
	{kinds: []Kind{BigOrder}, targets: anyTarget, leastPause: 5 * time.Second, meanPause: 20 * time.Second},
}

// Draw returns the plan of a seed.
func Draw(seed uint64, duration time.Duration, proxies, backends int) Plan {
	plan := Plan{Seed: seed, For: duration, Proxies: proxies, Backends: backends}
	for i, lane := range lanes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		plan.Troubles = append(plan.Troubles, lane.draw(rng, duration)...)
	}
	slices.SortStableFunc(plan.Troubles, func(a, b Trouble) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func (l lane) draw(rng *rand.Rand, duration time.Duration) (troubles []Trouble) {
	at := time.Duration(0)
	for {
		pause := l.leastPause + time.Duration(rng.ExpFloat64()*float64(l.meanPause))
		if at += pause.Round(10 * time.Millisecond); at >= duration {
			return troubles
		}
		kind := l.kinds[rng.IntN(len(l.kinds))]
		trouble := Trouble{At: at, Kind: kind, Target: l.targets(rng, kind), Index: rng.IntN(maxProxies)}
		if l.longestTime > 0 {
			trouble.For = time.Duration(rng.Int64N(int64(l.longestTime))).Round(10 * time.Millisecond)
		}
		troubles = append(troubles, trouble)
	}
}

// ReadPlan reads a plan that was kept.
func ReadPlan(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{}
	if err := json.Unmarshal(data, &plan); err != nil {
		return Plan{}, errors.Wrap(err, path)
	}
	return plan, plan.Check()
}

// Keep writes a plan to a file that ReadPlan reads.
func (p Plan) Keep(path string) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Print prints a plan, a line for each trouble.
func (p Plan) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %v, %d proxies, %d controllers, %d backends, %d troubles\n",
		p.Seed, p.For, p.Proxies, len(cluster.ZoneNames()), p.Backends, len(p.Troubles))
	for _, trouble := range p.Troubles {
		fmt.Fprintln(w, trouble)
	}
}

// nodes returns the names of the nodes that a target with an index concerns.
func (p Plan) nodes(target Target, index int) (proxies, controllers []string) {
	zones := cluster.ZoneNames()
	proxy := func(i int) string { return cluster.ProxyName((index + i) % p.Proxies) }
	controller := func(i int) string { return cluster.ControllerName(zones[(index+i)%len(zones)]) }
	proxyCount, controllerCount := 0, 0
	switch target {
	case OneProxy:
		proxyCount = 1
	case SomeProxies:
		proxyCount = max(1, p.Proxies/someProxiesDivisor)
	case AllProxies:
		proxyCount = p.Proxies
	case OneController:
		controllerCount = 1
	case TwoControllers:
		controllerCount = 2
	case AllControllers:
		controllerCount = len(zones)
	case AllNodes:
		proxyCount, controllerCount = p.Proxies, len(zones)
	}
	for i := range proxyCount {
		proxies = append(proxies, proxy(i))
	}
	for i := range controllerCount {
		controllers = append(controllers, controller(i))
	}
	return proxies, controllers
}
