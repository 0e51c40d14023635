package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/lore"
	"sagelever/sway"
)

// On SIGTERM the relay is out of look-ups at once, finishes what it has, and gives its lease back.
func TestLeaving(t *testing.T) {
	at, leave := make(chan struct{}), make(chan struct{})
	address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		close(at)
		<-leave
		stamped(w, r)
	})
	x := run(t, app("i1", address))
	until(t, "clients are sent here", func() bool { x.core.mu.Lock(); defer x.core.mu.Unlock(); return x.core.front == x.front })
	type result struct {
		status int
		err    error
	}
	got := make(chan result, 1)
	go func() {
		status, _, _, err := x.ask("POST", "/o/1", "x")
		got <- result{status, err}
	}()
	<-at
	x.stop()
	until(t, "clients are sent elsewhere", func() bool { x.core.mu.Lock(); defer x.core.mu.Unlock(); return x.core.front == "" })
	if x.ready() {
		t.Error("still ready")
	}
	close(leave)
	if r := <-got; r.err != nil || r.status != 200 {
		t.Errorf("what was under way: %d %v", r.status, r.err)
	}
	<-x.ended
	x.core.mu.Lock()
	defer x.core.mu.Unlock()
	if !x.core.ended {
		t.Error("the lease was not given back")
	}
}

func emptying(id, address string) lore.Item {
	a := lore.App{Service: "s", Address: address, Zone: "a1", Build: "v1", Capacity: 3, Phase: lore.Emptying}
	return a.WithPhase(id, lore.Emptying, 4)
}

func (x *set) state(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a := x.sway.App(id); a != nil {
		return a.Stand.State().String()
	}
	return "unknown"
}

// An appliance begins to leave while the connection to it is still coming up: nothing is written there, and the request
// goes to the next at once, a risky one too.
func TestLeavesWhileDialled(t *testing.T) {
	first, ranFirst := appliance(t, stamped)
	second, ranSecond := appliance(t, stamped)
	x := run(t, app("i1", first))
	dial, told := x.sends.DialContext, make(chan struct{})
	dialling := make(chan struct{}, 1)
	x.sends.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if address == first {
			dialling <- struct{}{}
			<-told
		}
		return c, err
	}
	got := make(chan string, 1)
	go func() {
		status, body, _, err := x.ask("POST", "/o/1", "some body")
		got <- fmt.Sprint(status, body, err)
	}()
	<-dialling
	x.core.tell(emptying("i1", first), app("i2", second))
	until(t, "it leaves", func() bool { return x.state("i1") == "leaving" && x.state("i2") == "serving" })
	close(told)
	if g := <-got; g != "200yes<nil>" || ranFirst.Load() != 0 || ranSecond.Load() != 1 {
		t.Errorf("%s, ran %d times at the one that leaves, %d at the other", g, ranFirst.Load(), ranSecond.Load())
	}
	if x.counts.withheld.Load() != 1 || x.counts.again.Load() != 0 {
		t.Error("it is not counted as withheld")
	}
	until(t, "nothing is out there", func() bool { return x.state("i1") == "left" })
}

// What runs at an appliance that leaves finishes there and its answer is given, over a kept connection too, though the core
// falls silent; a request whose body is still arriving goes elsewhere, as it is placed once it is there.
func TestFinishesWhereItRuns(t *testing.T) {
	on, release := make(chan struct{}, 1), make(chan struct{})
	first, ranFirst := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		on <- struct{}{}
		<-release
		w.Header().Set("Connection", "close")
		stamped(w, r)
	})
	second, ranSecond := appliance(t, stamped)
	x := run(t, app("i1", first))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	got := make(chan string, 2)
	go func() {
		status, body, _, err := x.ask("POST", "/o/1", "it runs there")
		got <- fmt.Sprint(status, body, err)
	}()
	<-on
	in, out := io.Pipe()
	begun := x.counts.taken.Load()
	go func() {
		req, _ := http.NewRequest("POST", "http://"+x.front+"/o/2", in)
		req.Host = "h"
		req.Header.Set(tryID, "t2")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			got <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		got <- fmt.Sprint(resp.StatusCode, string(b), err)
	}()
	io.WriteString(out, "half of ")
	until(t, "its head is there", func() bool { return x.counts.taken.Load() > begun })
	x.core.tell(emptying("i1", first), app("i2", second))
	until(t, "it leaves", func() bool { return x.state("i1") == "leaving" && x.state("i2") == "serving" })
	io.WriteString(out, "a body")
	out.Close()
	if g := <-got; g != "200yes<nil>" || ranSecond.Load() != 1 {
		t.Errorf("the body that was arriving: %s, ran %d times at the one that serves", g, ranSecond.Load())
	}
	x.core.mu.Lock()
	x.core.sound = false
	x.core.mu.Unlock()
	free()
	if g := <-got; g != "200yes<nil>" || ranFirst.Load() != 1 {
		t.Errorf("what ran there: %s, ran %d times", g, ranFirst.Load())
	}
}

// A relay whose core says nothing it may rely on asks the appliance itself: one that says that it serves gets the request,
// one that does not gets nothing, and the client its final answer with a time to return.
func TestAsksItself(t *testing.T) {
	for says, want := range map[int]int{200: 200, 503: 503} {
		var asked atomic.Int64
		address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/h" {
				asked.Add(1)
				w.Header().Set(serverID, "i1")
				w.WriteHeader(says)
				return
			}
			stamped(w, r)
		})
		x := runWith(t, 200*time.Millisecond, app("i1", address))
		x.core.mu.Lock()
		x.core.sound = false
		x.core.mu.Unlock()
		until(t, "the leave has run out", func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return !x.sway.Open(x.sway.App("i1"), time.Now())
		})
		status, _, head, err := x.ask("POST", "/o/1", "")
		if err != nil || status != want || asked.Load() == 0 || want == 503 && head.Get("Retry-After") == "" {
			t.Errorf("it says %d: %d %v, asked %d times, %v", says, status, err, asked.Load(), head)
		}
	}
}

// When an appliance leaves while requests are out there, a connection to where the next will go is opened ahead; the next
// request takes it, and one that is not used is closed.
func TestConnectionsAhead(t *testing.T) {
	on, release := make(chan struct{}, 1), make(chan struct{})
	first, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		on <- struct{}{}
		<-release
		stamped(w, r)
	})
	second, _ := appliance(t, stamped)
	x := run(t, app("i1", first))
	free := sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	done := make(chan struct{})
	go func() { defer close(done); x.ask("POST", "/o/1", "") }()
	<-on
	x.core.tell(app("i2", second))
	until(t, "the other is known", func() bool { return x.state("i2") == "serving" })
	dials := x.counts.dials.Load()
	x.core.tell(emptying("i1", first))
	held := func() int {
		x.links.mu.Lock()
		defer x.links.mu.Unlock()
		return len(x.links.ready)
	}
	until(t, "a connection is there", func() bool { return held() == 1 })
	if status, _, _, err := x.ask("POST", "/o/2", ""); status != 200 || err != nil || x.counts.dials.Load() != dials+1 || held() != 0 {
		t.Errorf("%d %v, %d connections for it, %d left", status, err, x.counts.dials.Load()-dials, held())
	}
	free()
	<-done
	third, _ := appliance(t, stamped)
	x.links.ahead([]sway.Ahead{{Address: first}, {Address: third}}) // to the first one a connection rests already
	until(t, "one that nobody uses is there", func() bool { return held() == 1 })
	x.links.sweep(time.Now().Add(2 * soon))
	until(t, "and closed", func() bool {
		x.links.mu.Lock()
		defer x.links.mu.Unlock()
		return len(x.links.ready) == 0 && x.links.open[third] == 0
	})
}
