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
	"sagelever/pool"
	"sagelever/standin"
	"sagelever/wsagent"
)

// settings are those of the experiment's deployment: three workloads, one of each effect.
const settings = `{"balancers":1,"position":0,"tick":5,"registryMode":"automatic","classes":[
	{"name":"look","semantics":"free","goalTime":300,"giveUp":750,"worth":1},
	{"name":"keep","semantics":"guarded","group":"all","keyTtl":2000,"goalTime":600,"giveUp":2000,"worth":5},
	{"name":"rollout-step","semantics":"single_shot","goalTime":750,"giveUp":2000,"worth":2}],
	"permissions":{"connIdle":30000,"dialTimeout":250,"maxAttempts":5,"mayCancel":true,"secondCopies":true,"maxRetryAfter":500,"retryAfter":true},
	"safety":{"answerSlack":50,"drainGrace":500},"familyInfo":{"voteWait":1000,"mostShares":[1]},"telemetry":{"fields":["queue"],"source":"answers"}}`

// figures are what came of a run.
type figures struct {
	messages, answers, missing, double     int
	satisfied, deferred, brokenOff, errors int
	unrun                                  int // satisfied, though no appliance had run it
	rolloutRunsMax                         int
	lateAfterDrain                         int // appliances that ran something later than 500 ms after their drain was told
	silent, deaf, killed, drained, full    int
	cut                                    int // messages that reached an appliance short, and were not run
	p50, p99                               time.Duration
	took                                   time.Duration
}

func (f figures) String() string {
	return fmt.Sprintf("messages=%d answers=%d missing=%d double=%d satisfied=%d deferred=%d broken_off=%d errors=%d unrun=%d "+
		"rollout_step_runs_max=%d late_after_drain=%d silent=%d deaf=%d killed=%d drained=%d full=%d cut=%d p50=%s p99=%s took=%s",
		f.messages, f.answers, f.missing, f.double, f.satisfied, f.deferred, f.brokenOff, f.errors, f.unrun, f.rolloutRunsMax,
		f.lateAfterDrain, f.silent, f.deaf, f.killed, f.drained, f.full, f.cut, f.p50, f.p99, f.took.Round(time.Millisecond))
}

// verdict is an error where a rule was broken.
func (f figures) verdict() error {
	if f.missing+f.double+f.unrun+f.lateAfterDrain > 0 || f.rolloutRunsMax > 1 {
		return errors.New("a rule was broken")
	}
	return nil
}

// answered is what a client was told of one message.
type answered struct {
	rollout bool
	types   []string
	bodyOK  bool
	after   time.Duration
}

// check holds what clients were told against what appliances saw.
func check(told map[string]*answered, runs map[string]int) (f figures) {
	var times []time.Duration
	for id, a := range told {
		f.messages++
		f.answers += len(a.types)
		switch len(a.types) {
		case 0:
			f.missing++
		case 1:
		default:
			f.double++
		}
		for _, t := range a.types {
			switch t {
			case "satisfied":
				f.satisfied++
				times = append(times, a.after)
				if runs[id] == 0 || !a.bodyOK {
					f.unrun++
				}
			case "deferred":
				f.deferred++
			case "broken_off":
				f.brokenOff++
			default:
				f.errors++
			}
		}
		if a.rollout {
			f.rolloutRunsMax = max(f.rolloutRunsMax, runs[id])
		}
	}
	if slices.Sort(times); len(times) > 0 {
		f.p50, f.p99 = times[len(times)/2], times[len(times)*99/100]
	}
	return f
}

// fleet is the appliances of a run, with discovery.
type fleet struct {
	discovery *standin.Discovery
	mu        sync.Mutex
	listed    []*standin.Box
	all       []*standin.Box
	drained   map[*standin.Box]time.Time
}

// newFleet starts some appliances and the discovery that lists them.
func newFleet(appliances int) (f *fleet, err error) {
	f = &fleet{drained: map[*standin.Box]time.Time{}}
	if f.discovery, err = standin.NewDiscovery(); err != nil {
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

func (f *fleet) close() {
	f.discovery.Close()
	for _, b := range f.all {
		b.Close()
	}
}

func (f *fleet) add() error {
	b, err := standin.NewBox(fmt.Sprintf("box-%d", len(f.all)), 5*time.Millisecond)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.all, f.listed = append(f.all, b), append(f.listed, b)
	f.mu.Unlock()
	f.tell(nil)
	return nil
}

// tell tells the list, with one that drains.
func (f *fleet) tell(drains *standin.Box) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines []standin.Line
	for _, b := range f.listed {
		lines = append(lines, standin.Line{Name: b.Name, Address: b.Address, Build: 7, Draining: b == drains})
	}
	f.discovery.List(lines)
	if drains != nil {
		f.drained[drains] = time.Now()
		f.listed = slices.DeleteFunc(f.listed, func(b *standin.Box) bool { return b == drains })
	}
}

// overWebSocket asks messages over WebSocket while faults are injected, and gives what came of it.
func overWebSocket(messages, clients int, seed uint64, log *slog.Logger) (f figures, err error) {
	boxes, err := newFleet(5)
	if err != nil {
		return f, err
	}
	defer boxes.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	at, ended, err := startAgent(ctx, boxes.discovery.Address, seed, log)
	if err != nil {
		return f, err
	}
	began := time.Now()
	var asked atomic.Int64
	told := make([]map[string]*answered, clients)
	var asking sync.WaitGroup
	for c := range clients {
		asking.Go(func() { told[c] = ask(at, c, messages/clients, rand.New(rand.NewPCG(seed, uint64(c))), &asked) })
	}
	faults := boxes.faults(messages, seed, &asked)
	asking.Wait()
	all := map[string]*answered{}
	for _, m := range told {
		for id, a := range m {
			all[id] = a
		}
	}
	runs := map[string]int{}
	late := 0
	for _, b := range boxes.all {
		saw, last, short := b.Saw()
		for id, n := range saw {
			runs[id] += n
		}
		faults.cut += short
		if at, ok := boxes.drained[b]; ok && last.After(at.Add(500*time.Millisecond)) {
			late++
		}
	}
	f = check(all, runs)
	f.lateAfterDrain, f.cut, f.took = late, faults.cut, time.Since(began)
	f.silent, f.deaf, f.killed, f.drained, f.full = faults.silent, faults.deaf, faults.killed, faults.drained, faults.full
	stop()
	return f, <-ended
}

// startAgent starts an agent with a WebSocket front at /ws.
func startAgent(ctx context.Context, discovery string, seed uint64, log *slog.Logger) (at string, ended chan error, err error) {
	s, err := stationAt(discovery, 7, log)
	if err != nil {
		return "", nil, err
	}
	a := httpagent.New(s)
	life, end := context.WithCancel(context.Background())
	links := wsagent.NewLinks(life, "/ws", pool.Usual, seed, log)
	a.OnList(func(places []httpagent.Place) {
		lines := make([]wsagent.Listed, len(places))
		for i, p := range places {
			lines[i] = wsagent.Listed(p)
		}
		links.List(lines)
	})
	a.Mount("/ws", wsagent.NewFront(a, links, wsagent.UsualLimits, log))
	ended = make(chan error, 1)
	go func() {
		err := a.Run(ctx)
		end()
		ended <- err
	}()
	return s.Listen, ended, started(s.Listen)
}

// stationAt is a station on a free address, to which a build is released.
func stationAt(discovery string, build int, log *slog.Logger) (*httpagent.Station, error) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &httpagent.Station{Name: "lab", Listen: free.Addr().String(), Discovery: discovery, Settings: json.RawMessage(settings), Log: log}
	free.Close()
	s.Platform.News = fmt.Appendf(nil, `{"image":%d,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`, build)
	return s, s.Check()
}

// started waits until an agent is ready.
func started(at string) error {
	for range 500 {
		if resp, err := http.Get("http://" + at + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("the agent does not start")
}

// faults injects one fault after another, at shares of the messages; the seed says which appliance and in which order.
func (f *fleet) faults(messages int, seed uint64, asked *atomic.Int64) (n figures) {
	chance := rand.New(rand.NewPCG(seed, 1<<32))
	kinds := []string{"silent", "deaf", "killed", "drained", "full", "silent", "drained", "killed", "deaf", "drained"}
	chance.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for i, kind := range kinds {
		for asked.Load() < int64(messages*(i+1)/(len(kinds)+2)) {
			time.Sleep(time.Millisecond)
		}
		b := f.listed[chance.IntN(len(f.listed))]
		mood := map[string]standin.Mood{"silent": standin.Silent, "deaf": standin.Deaf, "full": standin.Full}
		switch kind {
		case "silent", "deaf", "full":
			b.Behave(mood[kind], 5*time.Millisecond)
			time.AfterFunc(700*time.Millisecond, func() { b.Behave(standin.Well, 5*time.Millisecond) })
		case "killed":
			b.Cut()
		case "drained":
			f.tell(b)
			f.add()
		}
		switch kind {
		case "silent":
			n.silent++
		case "deaf":
			n.deaf++
		case "full":
			n.full++
		case "killed":
			n.killed++
		case "drained":
			n.drained++
		}
	}
	return n
}

// ask asks messages on one connection, some in flight at once, until each has an answer or its time is long up.
func ask(at string, client, messages int, chance *rand.Rand, asked *atomic.Int64) map[string]*answered {
	told := map[string]*answered{}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ws, _, err := websocket.Dial(ctx, "ws://"+at+"/ws", &websocket.DialOptions{Subprotocols: []string{wsagent.ClientProtocol}})
	if err != nil {
		return told
	}
	defer ws.CloseNow()
	ws.SetReadLimit(1 << 20)
	const inFlight = 16
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	room := make(chan struct{}, inFlight)
	go func() {
		for {
			_, message, err := ws.Read(ctx)
			if err != nil {
				return
			}
			t, err := wsagent.ReadTell(message)
			mu.Lock()
			if a := told[t.ID]; err == nil && a != nil {
				a.types, a.bodyOK, a.after = append(a.types, t.Type), string(t.Body) == t.ID, time.Since(sentAt[t.ID])
				if len(a.types) == 1 {
					<-room
				}
			}
			mu.Unlock()
		}
	}()
	for i := range messages {
		room <- struct{}{}
		a := wsagent.Ask{Type: "ask", ID: fmt.Sprintf("%d-%d", client, i), Path: "/look/x", Key: fmt.Sprint("k", chance.IntN(500))}
		switch n := chance.IntN(100); {
		case n < 15:
			a.Method, a.Path, a.Body = "POST", "/rollout-step/x", []byte(strings.Repeat("r", chance.IntN(20000)))
		case n < 40:
			a.Method, a.Path, a.Idempotency, a.Body = "POST", "/keep/x", a.ID, []byte("kept")
		}
		mu.Lock()
		told[a.ID], sentAt[a.ID] = &answered{rollout: strings.HasPrefix(a.Path, "/rollout")}, time.Now()
		mu.Unlock()
		if ws.Write(ctx, websocket.MessageBinary, a.Write()) != nil {
			break
		}
		asked.Add(1)
	}
	// What is still open has 2 s by its workload. A late second answer would come soon after the first.
	for range 600 {
		mu.Lock()
		missing := 0
		for _, a := range told {
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
	return told
}
