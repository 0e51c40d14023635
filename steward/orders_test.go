package steward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
	"sagelever/plan"
)

// decided ends a service's first release.
func decided(service, phase string) map[string]quorum.Change {
	return map[string]quorum.Change{plan.ReleaseKey(service): plan.Decide(1, phase)}
}

// answer makes a call until it has a clear answer.
func (h *house) answer(i int, query, body string) (status int, text string) {
	h.t.Helper()
	until(h.t, query, func() bool {
		status, text = h.call(i, query, body)
		return status > 0 && status < 500
	})
	return status, text
}

// wants makes a call until it has a clear answer, which has to be this one.
func (h *house) wants(i int, status int, query, body string) {
	h.t.Helper()
	if got, text := h.answer(i, query, body); got != status {
		h.t.Errorf("member %d: %s %.300s: %d %s, want %d", i, query, body, got, text, status)
	}
}

// Items of calls.
func route(name, version, path, service string) string {
	return fmt.Sprintf(`{"type":"routes","metadata":{"name":"%s","version":"%s"},"body":{"host":"a.example","pathStart":"/%s/","kind":"harmless","giveUp":"5s","service":"%s"}}`, name, version, path, service)
}

func service(name, version, check string) string {
	return fmt.Sprintf(`{"type":"services","metadata":{"name":"%s","version":"%s"},"body":{"checkPath":"/%s"}}`, name, version, check)
}

func tenant(name, version, region string) string {
	return fmt.Sprintf(`{"type":"tenants","metadata":{"name":"%s","version":"%s"},"body":{"homeRegions":["%s"]}}`, name, version, region)
}

func put(items ...string) string { return `{"putItems":{"items":[` + strings.Join(items, ",") + `]}}` }

func drop(kind, name, version string) string {
	return fmt.Sprintf(`{"remove":{"%s":[{"name":"%s","version":"%s"}]}}`, kind, name, version)
}

// Of operators that race on one version at several members one is confirmed, the others are told which item and version it
// is about, and the one content that was confirmed stands everywhere.
func TestRace(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	var wg sync.WaitGroup
	won := make([]bool, members)
	for i := range members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, text := h.answer(i, "settings.change", call("00000009", fmt.Sprint("by", i, ".example")))
			won[i] = status == 200
			if status != 200 && (status != 409 || !strings.Contains(text, "routes r") || !strings.Contains(text, "00000009")) {
				t.Errorf("member %d: %d %s", i, status, text)
			}
			h.must(i, "releases.begin&of=x", fmt.Sprintf(`{"service":"s","target":"v%d","over":"9s"}`, i))
		}()
	}
	wg.Wait()
	texts, phases := map[string]bool{}, map[string]bool{}
	for i := range members {
		texts[h.must(i, "settings.read", "")] = true
		phases[h.must(i, "releases.read&of=s", "")] = true
	}
	if len(texts) != 1 || len(phases) != 1 {
		t.Errorf("%v %v", texts, phases)
	}
	winners := 0
	for i := range members {
		if !won[i] {
			continue
		}
		winners++
		for text := range texts {
			if !strings.Contains(text, fmt.Sprint("by", i, ".example")) {
				t.Errorf("member %d was confirmed: %s", i, text)
			}
		}
	}
	if winners != 1 {
		t.Errorf("%d contents were confirmed under one version", winners)
	}
}

// Of two contents under one version one is confirmed, one after the other too, through any member, also once a newer version
// stands and after a restart of all; the other is refused, and where that is one item of a call nothing of the call stands.
func TestOneContentForAVersion(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.wants(0, 200, "settings.change", put(service("s", "00000007", "h")))
	h.wants(1, 409, "settings.change", put(service("s", "00000007", "other")))
	h.wants(2, 409, "settings.change", drop("services", "s", "00000007"))
	h.wants(2, 409, "settings.change", put(service("z", "00000007", "h"), service("s", "00000007", "other")))
	if text := h.must(1, "settings.read", ""); strings.Contains(text, `"z"`) || strings.Contains(text, "other") {
		t.Errorf("something of a refused call stands: %s", text)
	}
	h.wants(1, 200, "settings.change", put(service("s", "00000009", "later")))
	h.wants(2, 200, "settings.change", put(service("s", "00000008", "passed by")))
	for i := range members {
		h.kill(i)
	}
	for i := range members {
		h.start(i, false)
	}
	for i := range members {
		h.ready(i)
		h.wants(i, 409, "settings.change", put(service("s", "00000007", "other")))
		h.wants(i, 409, "settings.change", put(service("s", "00000008", "other")))
		h.wants(i, 200, "settings.change", put(service("s", "00000008", "passed by")))
		h.wants(i, 200, "settings.change", strings.Replace(put(service("s", "00000007", "h")), `{"checkPath":`, "{ \"checkPath\" :\n", 1))
	}
	if text := h.must(0, "settings.read", ""); !strings.Contains(text, "later") {
		t.Errorf("the highest version does not stand: %s", text)
	}
}

// What was taken is confirmed again through any member, whatever came after it: here the service that a route named was
// dropped, and its place given to another. What names a service that never was is refused, also under a version that others
// have passed by.
func TestTakenStaysTaken(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.wants(0, 200, "settings.change", put(service("s", "00000001", "h"), service("z", "00000001", "h")))
	taken := []string{put(route("r", "00000002", "x", "s")), put(route("r", "00000004", "y", "z")), drop("services", "s", "00000005"), put(route("q", "00000006", "x", "z")), drop("routes", "q", "00000007")}
	for i, body := range taken {
		h.wants(i%members, 200, "settings.change", body)
	}
	before := h.must(0, "settings.read", "")
	for i := range members {
		for _, body := range taken {
			h.wants(i, 200, "settings.change", body)
		}
		for _, version := range []string{"00000001", "00000003", "00000009"} {
			h.wants(i, 400, "settings.change", put(route("r", version, "w", "never")))
		}
		h.wants(i, 400, "settings.change", put(route("r", "00000003", "w", "s"))) // never taken, and s is gone
		for _, service := range []string{"s", "never"} {                          // it would stay in its place
			h.wants(i, 400, "settings.change", put(route("r", "00000009", "y", service)))
		}
	}
	if after := h.must(1, "settings.read", ""); after != before {
		t.Errorf("changed: %s", after)
	}
}

// A release that has ended begins anew when it is ordered anew; the same order again, as long as it may come, begins nothing,
// also when another release was ordered in between.
func TestReleaseOrderedAgain(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	order := func(i int, target string) {
		h.must(i, "releases.begin", fmt.Sprintf(`{"service":"s","target":"%s","over":"9s"}`, target))
	}
	wants := func(phase, target string) {
		t.Helper()
		until(t, phase+" "+target, func() bool {
			text := h.must(1, "releases.read&of=s", "")
			return strings.Contains(text, phase) && strings.Contains(text, target)
		})
	}
	order(0, "v2")
	s := h.live[0].Steward
	s.step(func(now time.Time) { s.m.Write(now, now.Add(callTime), decided("s", plan.Reverted)) })
	wants(plan.Reverted, "v2")
	order(1, "v2")
	wants(plan.Reverted, "v2")
	order(2, "v3")
	order(0, "v2")
	wants(plan.InService, "v3")
	h.ahead.Store(int64(plan.ResendTerm(0)) + int64(time.Second))
	for i := range members {
		h.ready(i)
	}
	order(1, "v2")
	wants(plan.InService, "v2")
}

// A word on a drain again is confirmed again: the beginning once its appliance has left, the end once nothing stands.
func TestDrainOrderedAgain(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	h.must(0, "servers.pulse&of=i1", pulse(1, "ready"))
	word := `{"target":"i1","force":true}`
	h.wants(0, 200, "drains.begin", word)
	until(t, "all know of it", func() bool {
		status, _ := h.call(1, "drains.begin", word)
		return status == 200
	})
	h.wants(1, 200, "drains.end&of=i1", "")
	for i := range members {
		h.wants(i, 200, "drains.end&of=i1", "")
		h.wants(i, 404, "drains.end&of=i2", "")
	}
	h.must(2, "servers.sign_off&of=i1", "")
	h.ahead.Store(int64(2 * time.Minute)) // by which all forget the appliance
	until(t, "the appliance is forgotten", func() bool {
		status, _ := h.call(0, "drains.begin", word)
		return status == 404
	})
	h.wants(0, 404, "drains.end&of=i1", "")
}

// An agent that is cut off neither confirms nor refuses, at once, and says when to come again, whatever is ordered; what can't
// be read is refused by any.
func TestCutOffSaysNothing(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.start(0, true)
	until(t, "it answers", func() bool { status, _ := h.call(0, "settings.read", ""); return status != 0 })
	for _, c := range [][2]string{{"settings.change", call("00000007", "a.example")}, {"settings.change", put(route("r", "00000001", "x", "never"))},
		{"settings.change", drop("services", "s", "00000001")}, {"releases.begin", `{"service":"s","target":"v2","over":"9s"}`}, {"releases.read&of=s", ""},
		{"clear_out.begin&of=a1", ""}, {"clear_out.finish&of=a1", ""}, {"drains.begin", `{"target":"i9"}`}, {"drains.end&of=a1", ""}, {"drains.read&of=a1", ""}} {
		begun := time.Now()
		resp, err := http.Post("http://"+h.ip(0)+":"+h.control+"/api/rpc?call="+c[0], "application/json", strings.NewReader(c[1]))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || time.Since(begun) > callTime/2 {
			t.Errorf("%s: %d after %v, Retry-After %q", c[0], resp.StatusCode, time.Since(begun), resp.Header.Get("Retry-After"))
		}
	}
	h.wants(0, 400, "settings.change", "{")
}

// A valid order that is not over by its caller's second goes on, and is answered when it comes again.
func TestOrderGoesOn(t *testing.T) {
	t.Parallel()
	h := newHouse(t)
	h.startAll()
	body := put(service("s", "00000007", "h"))
	for i := 1; i < members; i++ {
		h.live[i].mu.Lock() // it stands still
	}
	status, text := h.call(0, "settings.change", body)
	for i := 1; i < members; i++ {
		h.live[i].mu.Unlock()
	}
	if status != 503 || !strings.Contains(text, "under way") {
		t.Fatalf("two members of three stand still: %d %s", status, text)
	}
	key := plan.Key(plan.Services, "s")
	until(t, "it is decided", func() bool {
		s := h.live[0].Steward
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.m.Held(key).Chosen
	})
	h.wants(0, 200, "settings.change", body)
	h.wants(1, 200, "settings.change", body)
}

// The same order many times at once is one order; too many at once get 503.
func TestOrdersJoin(t *testing.T) {
	t.Parallel()
	f := &flights{}
	hold, runs := make(chan struct{}), 0
	var wg sync.WaitGroup
	var joined []*flight
	for range 20 { // all have joined before the order can end
		x, err := f.find("the same", 0, func(context.Context) (uint64, error) { runs++; <-hold; return 7, nil })
		if err != nil {
			t.Fatal(err)
		}
		joined = append(joined, x)
	}
	for i := range mostFlights - 1 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = f.join(t.Context(), fmt.Sprint(i), 0, func(context.Context) (uint64, error) { <-hold; return 0, nil })
		}()
	}
	full := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.byKey) == mostFlights
	}
	until(t, "all are under way", full)
	if _, err := f.join(t.Context(), "one more", 0, func(context.Context) (uint64, error) { return 0, nil }); err != errManyUnder || statusOf(err) != 503 {
		t.Errorf("one too many: %v", err)
	}
	close(hold)
	wg.Wait()
	if _, err := f.join(t.Context(), "too large beside another", mostFlying+1, func(context.Context) (uint64, error) { return 0, nil }); err != errManyUnder || f.bytes != 0 {
		t.Errorf("too many bytes: %v, %d are left", err, f.bytes)
	}
	for _, x := range joined {
		if <-x.ended; x.version != 7 || x.err != nil {
			t.Errorf("%d %v", x.version, x.err)
		}
	}
	if runs != 1 {
		t.Errorf("ran %d times", runs)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.byKey) > 0 {
		t.Errorf("%d orders are left", len(f.byKey))
	}
}

// An order insists while too few members answer, each time anew; any other end is its end.
func TestInsist(t *testing.T) {
	t.Parallel()
	tries := 0
	err := insist(t.Context(), time.Minute, func(context.Context) error {
		if tries++; tries < 4 {
			return replica.ErrFew
		}
		return &plan.Conflict{}
	})
	if tries != 4 || statusOf(err) != 409 {
		t.Errorf("%d tries, %v", tries, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	err = insist(ctx, time.Minute, func(context.Context) error { cancel(); return replica.ErrFew })
	if err != replica.ErrFew || statusOf(err) != 503 {
		t.Errorf("its time has ended: %v", err)
	}
}

// The bound by which clocks may differ, at its edge: an order that is sent again as late as it may be is known at an agent whose
// clock stands the bound apart, either way, and may be taken for a new one just beyond it. (Members no longer refuse one
// another's rounds by their clocks, so that there is no second figure for it to be equal to.)
func TestClocksApart(t *testing.T) {
	const confirm = 6 * time.Second
	taken := time.UnixMilli(1_000_000_000)
	term := plan.ResendTerm(confirm)
	held := plan.BeginOnce("v2", time.Second, taken, term)(quorum.Value{})
	number := func(at time.Time) uint64 {
		ended := plan.Decide(1, plan.Reverted)(held)
		r, _ := plan.ReadRelease(plan.BeginOnce("v2", time.Second, at, term)(ended))
		return r.Number
	}
	for _, x := range []struct {
		resent, clock time.Duration
		number        uint64
	}{
		{confirm - time.Millisecond, plan.ClocksApart, 1}, {0, -plan.ClocksApart, 1}, {confirm, 0, 1},
		{confirm + time.Millisecond, plan.ClocksApart, 2}, {0, -plan.ClocksApart - confirm, 2},
	} {
		if got := number(taken.Add(x.resent + x.clock)); got != x.number {
			t.Errorf("sent again after %v, by a clock %v apart: release %d, want %d", x.resent, x.clock, got, x.number)
		}
	}
}
