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

// Kind is a kind of trouble, that is, of an injected fault or load.
type Kind string

// The kinds of trouble. Those of processes apply to the nodes of a target.
const (
	Reload        Kind = "reload"         // SIGHUP
	Restart       Kind = "restart"        // SIGTERM, and a start once the process has exited
	Kill          Kind = "kill"           // SIGKILL, and a start after the trouble's duration
	Freeze        Kind = "freeze"         // SIGSTOP, and SIGCONT after the duration
	Wipe          Kind = "wipe"           // SIGKILL of a controller, and a start with an empty disk
	KillAfterAck  Kind = "kill-after-ack" // SIGKILL of the target within a few milliseconds of the next acknowledgement
	BackendKill   Kind = "backend-kill"   // a backend is killed, and another one starts at its address after the duration
	BackendDrain  Kind = "backend-drain"  // a backend shuts down gracefully, and another one starts
	BackendWarmUp Kind = "backend-cold"   // a backend warms up again
	BackendSwap   Kind = "backend-swap"   // a backend is killed, and one of the other service starts at its address
	BackendSilent Kind = "backend-silent" // a backend drops the requests that it receives and answers nothing
	BackendFaulty Kind = "backend-faulty" // a backend refuses, loses, cuts, repeats and resets responses
	BackendFreeze Kind = "backend-freeze" // a backend processes nothing, and then all that it has received
	BackendRenew  Kind = "backend-renew"  // another incarnation of a backend, with the same address and connections
	BigOrder      Kind = "big-order"      // thousands of routes in one call
)

// Target selects the nodes that a trouble applies to.
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

// someProxiesDivisor determines the share of the proxies that SomeProxies selects: one in so many.
const someProxiesDivisor = 3

// Trouble is one entry of a plan.
type Trouble struct {
	At       time.Duration `json:"at"`
	Kind     Kind          `json:"kind"`
	Target   Target        `json:"target,omitempty"`
	Index    int           `json:"index,omitempty"` // of the first affected node or backend, modulo their number
	Duration time.Duration `json:"for,omitempty"`
}

// String returns the entry as a line of a plan.
func (t Trouble) String() string {
	text := fmt.Sprintf("%7.2f s  %-14s", t.At.Seconds(), t.Kind)
	if t.Target != "" {
		text += fmt.Sprintf(" %s %d", t.Target, t.Index)
	}
	if t.Duration > 0 {
		text += fmt.Sprintf(" for %v", t.Duration)
	}
	return text
}

// Plan is the configuration of a run and its troubles in order of time.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"for"` // period in which troubles start
	Proxies  int           `json:"proxies"`
	Backends int           `json:"backends"`
	Troubles []Trouble     `json:"troubles"`
}

// Bounds of a plan.
const (
	maxProxies  = 200 // with the controllers, a few hundred processes at most
	maxBackends = 120
	maxDuration = 2 * time.Hour

	// wipePause is the minimum pause between two losses of a disk, so that the first controller has caught up again.
	wipePause = 15 * time.Second
)

// Check returns an error that names the first invalid value of a plan.
func (p Plan) Check() error {
	switch {
	case p.Duration <= 0 || p.Duration > maxDuration:
		return errors.Errorf("--for: %v, want more than 0 and %v at most", p.Duration, maxDuration)
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

// targetsOf lists the valid targets of each kind of trouble. Kinds that apply to no process have none.
var targetsOf = map[Kind][]Target{
	Reload:        {OneProxy, SomeProxies, AllProxies, OneController, AllControllers, AllNodes},
	Restart:       {OneProxy, SomeProxies, AllProxies, OneController, TwoControllers, AllControllers, AllNodes},
	Kill:          {OneProxy, SomeProxies, AllProxies, OneController, TwoControllers, AllControllers, AllNodes},
	Freeze:        {OneProxy, SomeProxies, OneController, TwoControllers},
	Wipe:          {OneController},
	KillAfterAck:  {TwoControllers, AllControllers, AllNodes},
	BackendKill:   nil,
	BackendDrain:  nil,
	BackendWarmUp: nil,
	BackendSwap:   nil,
	BackendSilent: nil,
	BackendFaulty: nil,
	BackendFreeze: nil,
	BackendRenew:  nil,
	BigOrder:      nil,
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
	case t.At < 0 || t.Duration < 0 || t.Index < 0:
		return errors.New("a negative time or index")
	}
	return nil
}

// lane generates a sequence of troubles of certain kinds. The lanes of a plan are concurrent, so that their troubles
// overlap.
type lane struct {
	kinds       []Kind
	targets     func(rng *rand.Rand, kind Kind) Target
	minPause    time.Duration
	meanPause   time.Duration // mean of the exponentially distributed pause in addition to minPause
	maxDuration time.Duration // of a trouble
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

// lanes are the lanes of a generated plan.
var lanes = []lane{
	{kinds: []Kind{Reload, Restart, Kill, Freeze, Restart}, targets: targetAmong(OneProxy, SomeProxies),
		meanPause: 2 * time.Second, maxDuration: 2 * time.Second},
	{kinds: []Kind{Reload, Restart, Kill, Freeze}, targets: targetAmong(OneController),
		minPause: time.Second, meanPause: 3 * time.Second, maxDuration: 2 * time.Second},
	{kinds: []Kind{BackendKill, BackendDrain, BackendWarmUp, BackendSwap}, targets: anyTarget,
		meanPause: 3 * time.Second, maxDuration: 2 * time.Second},
	{kinds: []Kind{KillAfterAck, KillAfterAck, Kill, Restart, Reload}, targets: targetAmong(AllControllers, AllNodes),
		minPause: 5 * time.Second, meanPause: 4 * time.Second, maxDuration: 2 * time.Second},
	{kinds: []Kind{Wipe}, targets: anyTarget,
		minPause: wipePause, meanPause: 10 * time.Second, maxDuration: time.Second},
	{kinds: []Kind{BigOrder}, targets: anyTarget, minPause: 5 * time.Second, meanPause: 20 * time.Second},
	{kinds: []Kind{BackendSilent}, targets: anyTarget, meanPause: 3 * time.Second, maxDuration: 3 * time.Second},
	{kinds: []Kind{BackendFaulty}, targets: anyTarget, meanPause: time.Second, maxDuration: 5 * time.Second},
	{kinds: []Kind{BackendFreeze, BackendRenew, BackendRenew}, targets: anyTarget,
		meanPause: 500 * time.Millisecond, maxDuration: 2 * time.Second},
}

// GeneratePlan returns the plan that a seed determines.
func GeneratePlan(seed uint64, duration time.Duration, proxies, backends int) Plan {
	plan := Plan{Seed: seed, Duration: duration, Proxies: proxies, Backends: backends}
	for i, lane := range lanes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		plan.Troubles = append(plan.Troubles, lane.generate(rng, duration)...)
	}
	slices.SortStableFunc(plan.Troubles, func(a, b Trouble) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func (l lane) generate(rng *rand.Rand, duration time.Duration) (troubles []Trouble) {
	at := time.Duration(0)
	for {
		pause := l.minPause + time.Duration(rng.ExpFloat64()*float64(l.meanPause))
		if at += pause.Round(10 * time.Millisecond); at >= duration {
			return troubles
		}
		kind := l.kinds[rng.IntN(len(l.kinds))]
		trouble := Trouble{At: at, Kind: kind, Target: l.targets(rng, kind), Index: rng.IntN(maxProxies)}
		if l.maxDuration > 0 {
			trouble.Duration = time.Duration(rng.Int64N(int64(l.maxDuration))).Round(10 * time.Millisecond)
		}
		troubles = append(troubles, trouble)
	}
}

// ReadPlan reads and checks a plan that Save has written.
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

// Save writes a plan to a file for ReadPlan.
func (p Plan) Save(path string) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Print prints a plan with one line for each trouble.
func (p Plan) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %v, %d proxies, %d controllers, %d backends, %d troubles\n",
		p.Seed, p.Duration, p.Proxies, len(cluster.ZoneNames()), p.Backends, len(p.Troubles))
	for _, trouble := range p.Troubles {
		fmt.Fprintln(w, trouble)
	}
}

// nodes returns the names of the nodes that a target selects, beginning at an index.
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
