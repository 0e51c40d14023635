package relay

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/control/replica"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/sway"
)

// A request reaches the appliance that it is meant for with method, path, query and body as they came.
func TestUnchanged(t *testing.T) {
	var got atomic.Value
	address, _ := appliance(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		left, _ := strconv.Atoi(r.Header.Get(timeLeft))
		got.Store(fmt.Sprintf("%s %s %s %q %v", r.Method, r.RequestURI, r.Header.Get(meant), b, left > 0 && left <= 2000))
		stamped(w, r)
	})
	x := run(t, app("i1", address))
	for _, path := range []string{"/o/1", "/o/a%2Fb//c/../d?x=1&x=2;y", "/o/?"} {
		status, body, _, err := x.ask("DELETE", path, "some body")
		if want := fmt.Sprintf("DELETE %s i1 %q true", path, "some body"); err != nil || status != 200 || body != "yes" || got.Load() != want {
			t.Errorf("%d %q %v, at the appliance %v, want %v", status, body, err, got.Load(), want)
		}
	}
}

// What the first appliance makes of a request, whether the second may have it, and what the client gets.
func TestVerdicts(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: t1\r\n"
	for _, x := range []struct {
		what, text   string
		risky, plain int // the client's status on a risky and on a harmless route
	}{
		{"turned away", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Try-Id: t1\r\nX-Sagelever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 200, 200},
		{"another has its address", "HTTP/1.1 421 Misdirected Request\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 200, 200},
		{"turned away, by an answer to nobody", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"another has its address, by an answer to nobody", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"turned away, without a word that it did not run", "HTTP/1.1 503 Service Unavailable\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 502, 200},
		{"no end to its answer", ok + "X-Sagelever-Server-Seal: s\r\n\r\nfine", 502, 200},
		{"it hangs up", "", 502, 200},
		{"its answer is cut short", ok + "X-Sagelever-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", 502, 200},
		{"no stamp", ok + "Content-Length: 4\r\n\r\nfine", 502, 200},
		{"noise", "what is this\r\n\r\n", 502, 200},
		{"it fails", "HTTP/1.1 500 Oh\r\nX-Sagelever-Try-Id: t1\r\nContent-Length: 0\r\n\r\n", 500, 200},
	} {
		for path, want := range map[string]int{"/o/1": x.risky, "/s/1": x.plain} {
			t.Run(x.what+path, func(t *testing.T) {
				t.Parallel()
				first, ran := raw(t, x.text)
				second, again := appliance(t, stamped)
				s := run(t, app("i1", first))
				s.mu.Lock()
				for range 60 { // requests before this one have earned further tries
					s.sway.Take(request(s), time.Now())
				}
				s.mu.Unlock()
				s.core.tell(lore.Item{Key: app("i2", second).Key, Version: 2, Body: strings.Replace(app("i2", second).Body, `"a1"`, `"a2"`, 1)})
				until(t, "both are known", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.sway.App("i2") != nil })
				status, _, head, err := s.ask("POST", path, "x")
				if err != nil || status != want || ran.Load() != 1 || (again.Load() == 1) != (want == 200) {
					t.Errorf("%d %v, want %d; the first ran it %d times, the second %d", status, err, want, ran.Load(), again.Load())
				}
				if status == 503 && head.Get("Retry-After") == "" {
					t.Error("refused without a time to return")
				}
			})
		}
	}
}

func request(s *set) *sway.Request {
	return &sway.Request{Way: s.table.Load().Find("h", "/s/1"), Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
}

// Without a place a request is refused early, with a time to return; without a route it is denied; too long a body too.
func TestRefusals(t *testing.T) {
	x := run(t)
	began := time.Now()
	status, _, head, err := x.ask("POST", "/o/1", "x")
	if err != nil || status != 503 || head.Get("Retry-After") == "" || time.Since(began) > 600*time.Millisecond {
		t.Errorf("%d %v %v after %v", status, head, err, time.Since(began))
	}
	if status, _, _, _ := x.ask("GET", "/none/", ""); status != 404 {
		t.Errorf("no route: %d", status)
	}
	status = 0
	for try := 0; status == 0 && try < 20; try++ { // a client that is still writing may lose the answer to the reset behind it
		status, _, _, _ = x.ask("POST", "/s/1", strings.Repeat("x", 100001))
	}
	if status != 413 {
		t.Errorf("too long: %d", status)
	}
}

// Within a life no item goes back, by whatever way an older one comes.
func TestNothingGoesBack(t *testing.T) {
	address, _ := appliance(t, stamped)
	x := run(t, app("i1", address))
	key := plan.Key(plan.Routes, "more")
	route := `{"host":"h","pathStart":"/m/","kind":"harmless","giveUp":"3s","service":"s"}`
	x.core.tell(reg(key, 8, route))
	until(t, "the route is there", func() bool { return x.table.Load().Find("h", "/m/1") != nil })
	x.news.take("elsewhere", &replica.Pull{}, &replica.News{Source: "elsewhere", Seq: 1, Sound: true, Whole: true, Items: []lore.Item{reg(key, 7, strings.Replace(route, "/m/", "/l/", 1))}}, time.Now(), time.Now())
	if x.table.Load().Find("h", "/m/1") == nil || x.table.Load().Find("h", "/l/1") != nil {
		t.Error("it went back to an older version")
	}
}

// BenchmarkRequest is the whole path of a request on loopback: client, relay, appliance and back; the client's and the
// appliance's part are in it.
func BenchmarkRequest(b *testing.B) {
	address, _ := appliance(b, stamped)
	x := run(b, app("i1", address))
	client := &http.Client{Transport: &http.Transport{}}
	b.ReportAllocs()
	for b.Loop() {
		req, _ := http.NewRequest("POST", "http://"+x.front+"/o/1", strings.NewReader("x"))
		req.Host = "h"
		req.Header.Set(tryID, "t1")
		req.Header.Set(timeLeft, "2000")
		resp, err := client.Do(req)
		if err != nil || resp.StatusCode != 200 {
			b.Fatal(resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// A late answer to a request that had a connection before a probe is not the appliance's word on itself, be it good or bad.
func TestProbePassesOverLateAnswers(t *testing.T) {
	for _, status := range []int{200, 503} {
		late := fmt.Sprintf("HTTP/1.1 %d Late\r\nX-Sagelever-Try-Id: t0\r\nX-Sagelever-Server-Id: i1\r\nContent-Length: 0\r\n\r\n", status)
		word := fmt.Sprintf("HTTP/1.1 %d Word\r\nX-Sagelever-Server-Id: i1\r\nContent-Length: 0\r\n\r\n", 200+503-status)
		address, _ := raw(t, late+word)
		x := runWith(t, 200*time.Millisecond, app("i1", address))
		x.core.mu.Lock()
		x.core.sound = false
		x.core.mu.Unlock()
		open := func() bool { x.mu.Lock(); defer x.mu.Unlock(); return x.sway.Open(x.sway.App("i1"), time.Now()) }
		until(t, "the leave has run out", func() bool { return !open() })
		x.question(sway.Question{ID: "i1", Address: address, Path: "/h"})
		if got, want := open(), status == 503; got != want {
			t.Errorf("a late %d before its word: it may be sent to: %v", status, got)
		}
	}
}

// News of an appliance comes in while requests go there: where each goes stays as it was when it was placed (a race that
// only the detector sees; CI runs this package with it).
func TestNewsWhileSending(t *testing.T) {
	address, ran := appliance(t, stamped)
	x := run(t, app("i1", address))
	stop := make(chan struct{})
	told := make(chan struct{})
	go func() {
		defer close(told)
		for version := uint64(4); ; version += 2 {
			select {
			case <-stop:
				return
			default:
			}
			a := lore.App{Service: "s", Address: address, Zone: "a1", Build: "v1", Capacity: 3 + int(version%2), Phase: lore.Ready}
			x.core.tell(a.WithPhase("i1", lore.Ready, version))
		}
	}()
	var asking sync.WaitGroup
	for range 4 {
		asking.Add(1)
		go func() {
			defer asking.Done()
			for range 60 {
				if status, _, _, err := x.ask("GET", "/s/1", ""); err != nil || status != 200 {
					t.Errorf("%d %v", status, err)
				}
			}
		}()
	}
	asking.Wait()
	close(stop)
	<-told
	if ran.Load() < 240 {
		t.Errorf("ran %d", ran.Load())
	}
}

// A long answer in chunks that its appliance breaks off has no length that could give it away: the caller's connection ends in
// the midst of it too.
func TestCutChunksStayCut(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("c", 64<<10))
	head := "HTTP/1.1 200 OK\r\nX-Sagelever-Try-Id: t1\r\nX-Sagelever-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for end, whole := range map[string]bool{"0\r\n\r\n": true, "": false, "10000\r\nhalf": false, "no chunk\r\n": false} {
		address, _ := raw(t, head+strings.Repeat(chunk, largest/(64<<10)+4)+end)
		x := run(t, app("i1", address))
		status, body, _, err := x.ask("POST", "/o/1", "x")
		if status != 200 || (err == nil) != whole || whole && len(body) != largest+4*(64<<10) {
			t.Errorf("ended by %q: %d, %d bytes, %v", end, status, len(body), err)
		}
	}
}
