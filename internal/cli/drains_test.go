package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"sagelever/internal/testbed/cluster"
)

// runCommand runs a drain command, given by its command line without the program's name.
func runCommand(t *testing.T, line string) (code int, output string) {
	t.Helper()
	parser := flaggy.NewParser("loadbalancer")
	commands := newDrainCommands(parser)
	if err := parser.ParseArgs(strings.Fields(line)); err != nil || !commands.used() {
		t.Fatalf("%s: %v", line, err)
	}
	var out, errOut bytes.Buffer
	code = commands.run(context.Background(), "/nowhere", &out, &errOut)
	return code, out.String() + errOut.String()
}

// startCluster starts a cluster without backends of services. It is closed when the test ends.
func startCluster(t *testing.T) *cluster.Cluster {
	t.Helper()
	system, err := cluster.Start(cluster.Options{
		Proxies:           3,
		Backends:          6,
		Seed:              1,
		MeanWork:          50 * time.Millisecond,
		DrainTime:         3 * time.Second,
		HeartbeatInterval: 400 * time.Millisecond,
		WarmUp:            100 * time.Millisecond,
		ShutdownGrace:     500 * time.Millisecond,
		ArrivalBound:      time.Second,
		Dir:               t.TempDir(),
		Logger:            zap.NewNop(),
	})
	if system != nil {
		t.Cleanup(system.Close)
	}
	if err != nil {
		t.Fatal(err)
	}
	return system
}

// startFlagsBackend starts a backend of the service "flags" in a zone.
func startFlagsBackend(t *testing.T, system *cluster.Cluster, zone string) *cluster.Backend {
	t.Helper()
	backend, err := system.StartBackend("flags", zone, "v1", 0)
	if err != nil {
		t.Fatal(err)
	}
	return backend
}

// sendUntilServed sends requests with a side effect until one succeeds or the context ends, and then sends the status
// of the last request to the channel.
func sendUntilServed(ctx context.Context, system *cluster.Cluster) <-chan int {
	result := make(chan int, 1)
	go func() {
		status := 0
		for ctx.Err() == nil && status != 200 { // until the proxies send requests to the backend again
			status = system.SendOnce("flags", "/change/", 6*time.Second)
		}
		result <- status
	}()
	return result
}

// restartControllers restarts all controllers one after the other.
func restartControllers(t *testing.T, system *cluster.Cluster) {
	t.Helper()
	for _, name := range []string{"controller-a1", "controller-b1", "controller-c1", "controller-a2", "controller-b2", "controller-c2"} {
		if err := system.RestartNode(name); err != nil {
			t.Fatal(err)
		}
	}
}

// outputTimeout bounds the time until a command shows the expected output.
const outputTimeout = 15 * time.Second

// The drain commands on a cluster: which drains are rejected, what is shown while a request is in flight, and that a
// drain survives restarts of the controllers.
func TestDrainCommands(t *testing.T) {
	system := startCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := system.Configure(ctx); err != nil {
		t.Fatal(err)
	}
	first := startFlagsBackend(t, system, "a1")
	at := " --at " + strings.Join(system.ControllerAddresses(), ",")
	awaitOutput := func(step, line string, want int, text string) string {
		t.Helper()
		for end := time.Now().Add(outputTimeout); ; {
			code, out := runCommand(t, line+at)
			if code == want && strings.Contains(out, text) {
				return out
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %s: %d %s", step, line, code, out)
			}
		}
	}
	awaitOutput("rejected: the last backend of its service", "drain "+first.ID, exitNoCapacity,
		"flags: 0.0 slots are at work, 0.0 would be left of 3.0")
	second := startFlagsBackend(t, system, "b1")
	awaitOutput("allowed: the service has another backend", "drain "+first.ID+" --wait", exitOK,
		first.ID+": nothing is left at 1 backends")
	awaitOutput("repeated", "drain "+first.ID, exitOK, "was drained already")
	awaitOutput("rejected: the other backend is the last one", "drain b1", exitNoCapacity, "")
	awaitOutput("forced", "drain flags@b1 --force", exitOK, "")
	awaitOutput("listed", "drains", exitOK, "flags@b1")
	awaitOutput("listed as JSON", "drains --json", exitOK, `"target":"`+first.ID+`"`)
	awaitOutput("undrained", "undrain flags@b1", exitOK, "")
	awaitOutput("undrained twice", "undrain flags@b1", exitFailed, "there is no such drain")
	awaitOutput("unknown backend", "drain i-none", exitFailed, "neither an appliance, nor SERVICE@ZONE, nor a zone")
	awaitOutput("unknown service", "drain none@a1", exitFailed, "no backend of this service is known")

	// A request in flight is shown by node and kind, and the requests that are left at the end of --for are printed.
	awaitOutput("undrained again", "undrain "+first.ID, exitOK, "")
	second.Kill()
	first.SetWork(2500 * time.Millisecond)
	result := sendUntilServed(ctx, system)
	select {
	case <-first.RunStarted():
	case <-ctx.Done():
		t.Fatal("the request did not reach the backend in time")
	}
	out := awaitOutput("a request in flight blocks the drain", "drain "+first.ID+" --force --wait --for 800ms",
		exitNotDrained, "1 risky")
	if !strings.Contains(out, "edge-") {
		t.Errorf("no proxy is named in %s", out)
	}
	restartControllers(t, system)
	awaitOutput("the request in flight has ended", "drain "+first.ID+" --wait --for 10s", exitOK, "nothing is left")
	if status := <-result; status != 200 {
		t.Errorf("the request in flight got status %d", status)
	}
}
