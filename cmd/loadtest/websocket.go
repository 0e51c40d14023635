package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"sagelever/httpagent"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/ws"
	"sagelever/internal/testbed/fakes"
)

// agentSettings are those of the experiment's deployment: three workloads, one of each effect.
const agentSettings = `{"balancers":1,"position":0,"tick":5,"registryMode":"automatic","classes":[
	{"name":"look","semantics":"free","goalTime":300,"giveUp":750,"worth":1},
	{"name":"keep","semantics":"guarded","group":"all","keyTtl":2000,"goalTime":600,"giveUp":2000,"worth":5},
	{"name":"rollout-step","semantics":"single_shot","goalTime":750,"giveUp":2000,"worth":2}],
	"permissions":{"connIdle":30000,"dialTimeout":250,"maxAttempts":5,"mayCancel":true,"secondCopies":true,"maxRetryAfter":500,"retryAfter":true},
	"safety":{"answerSlack":50,"drainGrace":500},"familyInfo":{"voteWait":1000,"mostShares":[1]},"telemetry":{"fields":["queue"],"source":"answers"}}`

// webSocketReport are what came of a run.
type webSocketReport struct {
	messages, answers, missing, duplicated          int
	satisfied, deferred, brokenOff, errors          int
	notExecuted                                     int // satisfied, though no appliance had run it
	maxRolloutRuns                                  int
	lateAfterDrain                                  int // appliances that ran something later than 500 ms after their drain was told
	unresponsive, deaf, killed, drained, overloaded int
	truncated                                       int // messages that reached an appliance short, and were not run
	p50, p99                                        time.Duration
	elapsed                                         time.Duration
}

func (f webSocketReport) String() string {
	return fmt.Sprintf("messages=%d answers=%d missing=%d double=%d satisfied=%d deferred=%d broken_off=%d errors=%d unrun=%d "+
		"rollout_step_runs_max=%d late_after_drain=%d silent=%d deaf=%d killed=%d drained=%d full=%d cut=%d p50=%s p99=%s took=%s",
		f.messages, f.answers, f.missing, f.duplicated, f.satisfied, f.deferred, f.brokenOff, f.errors, f.notExecuted, f.maxRolloutRuns,
		f.lateAfterDrain, f.unresponsive, f.deaf, f.killed, f.drained, f.overloaded, f.truncated, f.p50, f.p99, f.elapsed.Round(time.Millisecond))
}

// check is an error where a rule was broken.
func (f webSocketReport) check() error {
	if f.missing+f.duplicated+f.notExecuted+f.lateAfterDrain > 0 || f.maxRolloutRuns > 1 {
		return errors.New("a rule was broken")
	}
	return nil
}

// answerRecord is what a client was told of one message.
type answerRecord struct {
	rollout bool
	types   []string
	bodyOK  bool
	latency time.Duration
}

// summarize holds what clients were told against what appliances saw.
func summarize(records map[string]*answerRecord, runs map[string]int) (report webSocketReport) {
	var latencies []time.Duration
	for id, record := range records {
		report.messages++
		report.answers += len(record.types)
		switch len(record.types) {
		case 0:
			report.missing++
		case 1:
		default:
			report.duplicated++
		}
		for _, answerType := range record.types {
			switch answerType {
			case "satisfied":
				report.satisfied++
				latencies = append(latencies, record.latency)
				if runs[id] == 0 || !record.bodyOK {
					report.notExecuted++
				}
			case "deferred":
				report.deferred++
			case "broken_off":
				report.brokenOff++
			default:
				report.errors++
			}
		}
		if record.rollout {
			report.maxRolloutRuns = max(report.maxRolloutRuns, runs[id])
		}
	}
	if slices.Sort(latencies); len(latencies) > 0 {
		report.p50, report.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	return report
}

// backendSet is the appliances of a run, with discovery.
type backendSet struct {
	discovery  *fakes.Discovery
	mu         sync.Mutex
	registered []*fakes.Backend
	all        []*fakes.Backend
	drained    map[*fakes.Backend]time.Time
}

// newBackendSet starts some appliances and the discovery that lists them.
func newBackendSet(appliances int) (f *backendSet, err error) {
	f = &backendSet{drained: map[*fakes.Backend]time.Time{}}
	if f.discovery, err = fakes.NewDiscovery(); err != nil {
		return nil, err
	}
	for range appliances {
		if err := f.add(); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *backendSet) close() {
	f.discovery.Close()
	for _, b := range f.all {
		b.Close()
	}
}

func (f *backendSet) add() error {
	b, err := fakes.NewBackend(fmt.Sprintf("box-%d", len(f.all)), 5*time.Millisecond)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.all, f.registered = append(f.all, b), append(f.registered, b)
	f.mu.Unlock()
	f.announce(nil)
	return nil
}

// announce tells the list, with one that drains.
func (f *backendSet) announce(draining *fakes.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []fakes.Entry
	for _, b := range f.registered {
		lines = append(lines, fakes.Entry{Name: b.Name, Address: b.Address, Build: 7, Draining: b == draining})
	}
	f.discovery.SetEntries(lines)
	if draining != nil {
		f.drained[draining] = time.Now()
		f.registered = slices.DeleteFunc(f.registered, func(b *fakes.Backend) bool { return b == draining })
	}
}

// runWebSocket asks messages over WebSocket while faults are injected, and gives what came of it.
func runWebSocket(messages, clients int, seed uint64, log *slog.Logger) (report webSocketReport, err error) {
	backends, err := newBackendSet(5)
	if err != nil {
		return report, err
	}
	defer backends.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	address, ended, err := startAgent(ctx, backends.discovery.Address, seed, log)
	if err != nil {
		return report, err
	}
	began := time.Now()
	var sent atomic.Int64
	recordsByClient := make([]map[string]*answerRecord, clients)
	var senders sync.WaitGroup
	for c := range clients {
		senders.Go(func() {
			recordsByClient[c] = sendMessages(address, c, messages/clients, rand.New(rand.NewPCG(seed, uint64(c))), &sent)
		})
	}
	faults := backends.injectFaults(messages, seed, &sent)
	senders.Wait()
	all := map[string]*answerRecord{}
	for _, m := range recordsByClient {
		for id, a := range m {
			all[id] = a
		}
	}
	runs := map[string]int{}
	late := 0
	for _, b := range backends.all {
		saw, last, short := b.Observed()
		for id, n := range saw {
			runs[id] += n
		}
		faults.truncated += short
		if address, ok := backends.drained[b]; ok && last.After(address.Add(500*time.Millisecond)) {
			late++
		}
	}
	report = summarize(all, runs)
	report.lateAfterDrain, report.truncated, report.elapsed = late, faults.truncated, time.Since(began)
	report.unresponsive, report.deaf, report.killed, report.drained, report.overloaded = faults.unresponsive, faults.deaf, faults.killed, faults.drained, faults.overloaded
	stop()
	return report, <-ended
}

// startAgent starts an agent with a WebSocket front at /ws.
func startAgent(ctx context.Context, discovery string, seed uint64, log *slog.Logger) (address string, ended chan error, err error) {
	station, err := newStation(discovery, 7, log)
	if err != nil {
		return "", nil, err
	}
	agent := httpagent.New(station)
	linksCtx, stopLinks := context.WithCancel(context.Background())
	links := ws.NewBackendPool(linksCtx, "/ws", connpool.DefaultConfig, seed, log)
	agent.OnBackends(func(places []httpagent.BackendEndpoint) {
		lines := make([]ws.BackendEndpoint, len(places))
		for i, p := range places {
			lines[i] = ws.BackendEndpoint(p)
		}
		links.Update(lines)
	})
	agent.Mount("/ws", ws.NewServer(agent, links, ws.DefaultLimits, log))
	ended = make(chan error, 1)
	go func() {
		err := agent.Run(ctx)
		stopLinks()
		ended <- err
	}()
	return station.Listen, ended, waitReady(station.Listen)
}

// newStation is a station on a free address, to which a build is released.
func newStation(discovery string, build int, log *slog.Logger) (*httpagent.Station, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	station := &httpagent.Station{Name: "lab", Listen: free.Addr().String(), Discovery: discovery, Settings: json.RawMessage(agentSettings), Log: log}
	free.Close()
	station.Platform.News = fmt.Appendf(nil, `{"image":%d,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`, build)
	return station, station.Check()
}

// waitReady waits until an agent is ready.
func waitReady(address string) error {
	for range 500 {
		if resp, err := http.Get("http://" + address + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the agent does not start")
}

// injectFaults injects one fault after another, at shares of the messages; the seed says which appliance and in which order.
func (f *backendSet) injectFaults(messages int, seed uint64, sent *atomic.Int64) (counts webSocketReport) {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	kinds := []string{"silent", "deaf", "killed", "drained", "full", "silent", "drained", "killed", "deaf", "drained"}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for i, kind := range kinds {
		for sent.Load() < int64(messages*(i+1)/(len(kinds)+2)) {
			time.Sleep(time.Millisecond)
		}
		backend := f.registered[rng.IntN(len(f.registered))]
		mood := map[string]fakes.Behavior{"silent": fakes.Silent, "deaf": fakes.PingOnly, "full": fakes.Overloaded}
		switch kind {
		case "silent", "deaf", "full":
			backend.SetBehavior(mood[kind], 5*time.Millisecond)
			time.AfterFunc(700*time.Millisecond, func() { backend.SetBehavior(fakes.Healthy, 5*time.Millisecond) })
		case "killed":
			backend.BreakConnections()
		case "drained":
			f.announce(backend)
			f.add()
		}
		switch kind {
		case "silent":
			counts.unresponsive++
		case "deaf":
			counts.deaf++
		case "full":
			counts.overloaded++
		case "killed":
			counts.killed++
		case "drained":
			counts.drained++
		}
	}
	return counts
}

// sendMessages asks messages on one connection, some in flight at once, until each has an answer or its time is long up.
func sendMessages(address string, client, messages int, rng *rand.Rand, sent *atomic.Int64) map[string]*answerRecord {
	records := map[string]*answerRecord{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	conn, _, err := websocket.Dial(ctx, "ws://"+address+"/ws", &websocket.DialOptions{Subprotocols: []string{ws.ClientProtocol}})
	if err != nil {
		return records
	}
	defer conn.CloseNow()
	conn.SetReadLimit(1 << 20)
	const inFlight = 16
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	slots := make(chan struct{}, inFlight)
	go func() {
		for {
			_, message, err := conn.Read(ctx)
			if err != nil {
				return
			}
			t, err := ws.ParseClientMessage(message)
			mu.Lock()
			if a := records[t.ID]; err == nil && a != nil {
				a.types, a.bodyOK, a.latency = append(a.types, t.Type), string(t.Body) == t.ID, time.Since(sentAt[t.ID])
				if len(a.types) == 1 {
					<-slots
				}
			}
			mu.Unlock()
		}
	}()
	for i := range messages {
		slots <- struct{}{}
		a := ws.ClientRequest{Type: "ask", ID: fmt.Sprintf("%d-%d", client, i), Path: "/look/x", Key: fmt.Sprint("k", rng.IntN(500))}
		switch n := rng.IntN(100); {
		case n < 15:
			a.Method, a.Path, a.Body = "POST", "/rollout-step/x", []byte(strings.Repeat("r", rng.IntN(20000)))
		case n < 40:
			a.Method, a.Path, a.Idempotency, a.Body = "POST", "/keep/x", a.ID, []byte("kept")
		}
		mu.Lock()
		records[a.ID], sentAt[a.ID] = &answerRecord{rollout: strings.HasPrefix(a.Path, "/rollout")}, time.Now()
		mu.Unlock()
		if conn.Write(ctx, websocket.MessageBinary, a.Encode()) != nil {
			break
		}
		sent.Add(1)
	}
	// What is still open has 2 s by its workload. A late second answer would come soon after the first.
	for range 600 {
		mu.Lock()
		missing := 0
		for _, a := range records {
			if len(a.types) == 0 {
				missing++
			}
		}
		mu.Unlock()
		if missing == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	return records
}
