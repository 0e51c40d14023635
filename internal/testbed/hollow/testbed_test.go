package hollow

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// processArgument is the first argument with which this test program runs as a process of a testbed.
const processArgument = "hollow-process"

func TestMain(m *testing.M) {
	if len(os.Args) == 4 && os.Args[1] == processArgument {
		if err := Serve(os.Args[2], os.Args[3], os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func smallOptions(t *testing.T, launch LaunchFunc) Options {
	t.Helper()
	return Options{
		Controllers:       3,
		Proxies:           24,
		Backends:          9,
		Routes:            30,
		Tenants:           12,
		BatchSize:         20,
		LoadTimeout:       time.Minute,
		Changes:           2,
		SteadyTime:        50 * time.Millisecond,
		HeartbeatInterval: 1300 * time.Millisecond,
		DrainTimeout:      3 * time.Second,
		Launch:            launch,
		Dir:               t.TempDir(),
	}
}

// Each hollow proxy receives each register and each change exactly once, and its calls are counted.
func TestHollowProxiesReceiveChanges(t *testing.T) {
	t.Parallel()
	o := smallOptions(t, InProcess)
	b, err := Open(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		b.stopHollow()
		if err := b.Close(); err != nil {
			t.Error(err)
		}
	})
	loaded, err := b.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	registers := 1 + b.serviceCount() + o.Tenants + o.Routes + 1 // with the limits and the probe route
	if calls := (registers + o.BatchSize - 1) / o.BatchSize; loaded.Items != registers || loaded.Calls != calls {
		t.Errorf("loaded %d items in %d calls, want %d in %d", loaded.Items, loaded.Calls, registers, calls)
	}
	if _, err := b.StartProxies(t.Context()); err != nil {
		t.Fatal(err)
	}
	for i := range o.Changes {
		p, err := b.Change(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if p.Half > p.P99 || p.P99 > p.All || p.All <= 0 || p.Acknowledged <= 0 {
			t.Errorf("change %d: %+v", i, p)
		}
	}
	b.stopHollow()
	for _, proxy := range b.proxies {
		checkProxy(t, b, proxy, registers)
	}
}

// checkProxy checks the received items and the counters of a hollow proxy that has stopped.
func checkProxy(t *testing.T, b *Testbed, proxy *Proxy, registers int) {
	t.Helper()
	node, changes := proxy.member.Node, b.options.Changes
	if version := b.tracker.versions[node]; version != firstVersion+uint64(changes) {
		t.Errorf("%s has version %d", node, version)
	}
	if received := proxy.registers.Load(); received != int64(registers+changes) {
		t.Errorf("%s received %d registers, want %d", node, received, registers+changes)
	}
	const releaseCalls = 1                           // the call of releaseLease
	calls := proxy.Meter.Read().Calls - releaseCalls // one pull may have been interrupted
	pulls, failures := proxy.pulls.Load(), proxy.failures.Load()
	if calls < pulls || calls > pulls+failures+1 {
		t.Errorf("%s: %d calls for %d pulls and %d failures", node, calls, pulls, failures)
	}
}

// A run with separate processes measures each process, and stops all of them at the end.
func TestRunStopsItsProcesses(t *testing.T) {
	t.Parallel()
	var started []*Process
	executable := Executable(os.Args[0], processArgument)
	o := smallOptions(t, func(role, file string) (*Process, error) {
		p, err := executable(role, file)
		if err == nil {
			started = append(started, p)
		}
		return p, err
	})
	o.RealProxies = 1
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if len(started) != o.Controllers+o.RealProxies {
		t.Errorf("%d processes", len(started))
	}
	for _, p := range started {
		process, err := os.FindProcess(p.PID)
		if err == nil {
			err = process.Signal(syscall.Signal(0))
		}
		if !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("process %d is still running: %v", p.PID, err)
		}
	}
	checkMeasurements(t, r)
}

// checkMeasurements checks that a run has measured all roles.
func checkMeasurements(t *testing.T, r *Result) {
	t.Helper()
	last := r.Changing[1]
	if runtime.GOOS == "linux" {
		controllers, proxies := last.Controllers, last.RealProxies
		if len(controllers) != r.Options.Controllers || controllers[0].Memory <= 0 || proxies[0].Memory <= 0 {
			t.Errorf("usage of %d controllers and %d proxies: %+v", len(controllers), len(proxies), controllers)
		}
	}
	if len(r.Propagations) != r.Options.Changes {
		t.Errorf("%d changes, want %d", len(r.Propagations), r.Options.Changes)
	}
	if last.ProxyTraffic.Received <= r.InitialTraffic.Received {
		t.Errorf("no traffic of proxies after the start: %+v, %+v", last.ProxyTraffic, r.InitialTraffic)
	}
	if last.ControllerTraffic.Calls <= r.Steady[0].ControllerTraffic.Calls {
		t.Errorf("no calls between controllers: %+v", last.ControllerTraffic)
	}
	if last.Heartbeats < int64(r.Options.Backends) {
		t.Errorf("%d heartbeats", last.Heartbeats)
	}
}

// Serve fails if the settings file cannot be read.
func TestProcessFailsWithoutSettings(t *testing.T) {
	t.Parallel()
	p, err := InProcess(RoleController, filepath.Join(t.TempDir(), "none.json"))
	if err != nil {
		t.Fatal(err)
	}
	if p.Stop() == nil {
		t.Error("no error for a settings file that does not exist")
	}
}

func TestOpenRejectsTooFewControllers(t *testing.T) {
	t.Parallel()
	if _, err := Open(t.Context(), Options{Controllers: minControllers - 1, BatchSize: 1}); err == nil {
		t.Error("two controllers were accepted")
	}
}
