package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/drain"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
	"sagelever/internal/proxy/draining"
	"sagelever/internal/proxy/retry"
)

const testDrainTime = 3 * time.Second

// newTestBalancerWithoutLease returns a balancer whose send lease has never been renewed.
func newTestBalancerWithoutLease(zone string) *Balancer {
	nodeSettings := testSettings(zone)
	nodeSettings.RuleLimits.DrainTime = testDrainTime
	b := New(nodeSettings, rand.New(rand.NewPCG(1, 2)).Float64)
	b.SetProxyCounts(1, 1, start)
	b.Configure(testTable(nil), start)
	return b
}

// setPhase applies a heartbeat of a backend with a phase and a heartbeat number.
func (b *Balancer) setPhase(id string, phase replication.Phase, number int64, now time.Time) {
	update := b.backends[id].Backend
	update.Phase = phase
	update.HeartbeatMs = now.UnixMilli()
	b.UpdateBackend(id, replication.BackendVersion(number, false), &update, now)
}

// sentRequest is a request in flight and its backend.
type sentRequest struct {
	request *Request
	backend *Backend
}

// A proxy is partitioned from the controllers with 50 non-idempotent requests in flight. These finish at their backends
// and are not retried. After the lease has expired no request is assigned, and none that was assigned may be written.
func TestPartitionedProxyKeepsInFlightRequests(t *testing.T) {
	b := newTestBalancerWithoutLease("a1")
	b.addBackends(20, "a1")
	b.RenewLease(start)
	var inFlight []sentRequest
	for len(inFlight) < 50 {
		request := b.startRequest(nonIdempotentPath, start)
		backend := b.Pick(request, start)
		if backend == nil {
			t.Fatalf("only %d requests got a backend, want 50", len(inFlight))
		}
		inFlight = append(inFlight, sentRequest{request, backend})
	}
	expired := start.Add(lease.Duration(testDrainTime))
	if b.pickFor(idempotentPath, expired) != nil || b.MayWrite(inFlight[0].backend, expired) {
		t.Error("the proxy may send after its lease has expired")
	}
	if checks := b.TakeHealthChecks(); len(checks) != 1 || checks[0].Path != "/h" {
		t.Errorf("health checks: %v", checks)
	}
	for i, sent := range inFlight {
		outcome := succeeded
		if i%10 == 0 {
			outcome = lostResponse
		}
		outcome.Latency = expired.Sub(start) // sent at the start, so the response does not confirm the backend any more
		b.ReportOutcome(sent.request, sent.backend, outcome, expired)
		if b.AllowRetry(sent.request, outcome, expired) {
			t.Fatal("a non-idempotent request that may have been executed is retried")
		}
	}
	for id, backend := range b.backends {
		if backend.Drain.InFlight() != 0 {
			t.Errorf("%s: %d in flight", id, backend.Drain.InFlight())
		}
	}
}

// closeTwoConnections sends two requests to the only backend, which closes the connection after each response.
func closeTwoConnections(t *testing.T, b *Balancer, now time.Time) {
	t.Helper()
	closing := succeeded
	closing.ClosesConnection = true
	for i := range 2 {
		request := b.startRequest(idempotentPath, now)
		backend := b.Pick(request, now)
		if backend == nil {
			t.Fatalf("the backend gets no request after %d closed connections", i)
		}
		b.ReportOutcome(request, backend, closing, now)
	}
}

// Without a valid lease, a proxy sends to a backend only after the backend's own confirmation: a successful health
// check, or a response that keeps its connection open. A backend gets no requests if it closes connections or reports
// that it does not serve, and it is removed if its address belongs to another backend.
func TestBackendConfirmsItself(t *testing.T) {
	b := newTestBalancerWithoutLease("a1")
	b.addBackend("i1", "a1", "v1", 0, start)
	now := start
	if b.pickFor(idempotentPath, now) != nil {
		t.Fatal("the backend gets a request without any confirmation")
	}
	if checks := b.TakeHealthChecks(); len(checks) != 1 || checks[0].BackendID != "i1" {
		t.Fatalf("health checks: %v", checks)
	}
	b.pickFor(idempotentPath, now)
	if len(b.TakeHealthChecks()) != 0 {
		t.Error("the backend is checked again immediately")
	}
	waiting := b.startRequest(nonIdempotentPath, now)
	b.Enqueue(waiting)
	serving := HealthCheckResult{SentAt: now, Reachable: true, Serving: true}
	b.ReportHealthCheck("i1", serving, now.Add(time.Millisecond))
	if len(waiting.Granted) != 1 {
		t.Fatal("the backend serves, but the queued request is not granted")
	}
	b.ReportOutcome(waiting, <-waiting.Granted, succeeded, now.Add(time.Second))

	for range 5 { // responses renew the confirmation
		now = now.Add(2 * time.Second)
		request := b.startRequest(idempotentPath, now)
		backend := b.Pick(request, now)
		if backend == nil {
			t.Fatal("the backend's responses do not count as confirmations")
		}
		b.ReportOutcome(request, backend, succeeded, now.Add(100*time.Millisecond))
	}

	closeTwoConnections(t, b, now)
	if b.pickFor(idempotentPath, now) != nil {
		t.Error("the backend gets a request without a health check after it closed two connections in a row")
	}
	if len(b.TakeHealthChecks()) != 1 {
		t.Error("no health check is requested after the backend closed two connections in a row")
	}

	b.ReportHealthCheck("i1", HealthCheckResult{SentAt: now, Reachable: true}, now)
	if b.pickFor(idempotentPath, now) != nil {
		t.Error("the backend gets a request although it reports that it does not serve")
	}
	warmingUp := HealthCheckResult{SentAt: now, Reachable: true, Serving: true, WarmUpLeft: time.Second}
	b.ReportHealthCheck("i1", warmingUp, now)
	if backend := b.Backend("i1"); backend.warmingUntil != now.Add(time.Second) {
		t.Error("the backend's reported warm-up is not applied")
	}
	b.ReportHealthCheck("i1", HealthCheckResult{Reachable: true, WrongBackend: true}, now)
	if b.Backend("i1") != nil {
		t.Error("the backend is kept although its address belongs to another one")
	}
}

// wantNonIdempotentInFlight checks that the in-flight report has one row with the given number of non-idempotent
// requests.
func wantNonIdempotentInFlight(t *testing.T, b *Balancer, when string, want int) {
	t.Helper()
	if rows := b.InFlightReport(start).Backends; len(rows) != 1 || rows[0].NonIdempotent != want {
		t.Errorf("%s: reported %v, want %d non-idempotent", when, rows, want)
	}
}

// A drain is withdrawn and repeated, a heartbeat arrives late, and the incarnation ends. Requests in flight are counted
// until they end in each of these states, and a backend that drains or has left gets no new requests.
func TestDrainWithdrawnAndRepeated(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackend("i1", "a1", "v1", 0, start)
	first := b.startRequest(nonIdempotentPath, start)
	backend := b.Pick(first, start)
	number := int64(backend.updateVersion>>1) + 1
	b.setPhase("i1", replication.PhaseDraining, number, start)
	b.setPhase("i1", replication.PhaseReady, number-1, start) // outdated
	if b.pickFor(idempotentPath, start) != nil || backend.Drain.State() != draining.Draining {
		t.Fatalf("an outdated heartbeat ended the drain: %v", backend.Drain.State())
	}
	b.setPhase("i1", replication.PhaseReady, number+1, start)
	second := b.startRequest(nonIdempotentPath, start)
	if b.Pick(second, start) != backend {
		t.Fatal("the backend gets no request after its drain was withdrawn")
	}
	b.setPhase("i1", replication.PhaseDraining, number+2, start)
	wantNonIdempotentInFlight(t, b, "draining again", 2)
	b.UpdateBackend("i1", replication.LeftVersion, &replication.Backend{Phase: replication.PhaseLeft}, start)
	wantNonIdempotentInFlight(t, b, "left", 2)
	b.ReportOutcome(first, backend, succeeded, start)
	b.ReportOutcome(second, backend, lostResponse, start)
	if b.AllowRetry(second, lostResponse, start) {
		t.Error("a non-idempotent request whose response was lost is retried")
	}
	if rows := b.InFlightReport(start).Backends; len(rows) != 0 || len(b.removedInFlight) != 0 {
		t.Errorf("nothing is in flight, but %v is reported and %d backends are kept", rows, len(b.removedInFlight))
	}
}

// When the last backend of a service drains and rejects a request without executing it, the request goes to the next
// backend that is added.
func TestLastBackendDrains(t *testing.T) {
	b := newTestBalancer("a1", nil)
	b.addBackend("i1", "a1", "v1", 0, start)
	request := b.startRequest(nonIdempotentPath, start)
	backend := b.Pick(request, start)
	b.setPhase("i1", replication.PhaseDraining, int64(backend.updateVersion>>1)+1, start)
	if b.pickFor("/o/2", start) != nil {
		t.Fatal("the last backend gets a request although it drains")
	}
	b.ReportOutcome(request, backend, overloaded, start)
	hasToken := b.services["s"].retryTokens >= 1
	if request.Execution != retry.NotExecuted || !b.AllowRetry(request, overloaded, start) && hasToken {
		t.Errorf("execution %v after a rejection, or no retry allowed although there is a token", request.Execution)
	}
	later := start.Add(time.Millisecond)
	b.addBackend("i2", "a1", "v1", 0, later)
	if next := b.Pick(request, later); next == nil || next.ID != "i2" {
		t.Errorf("the request goes to %v, want the new backend", next)
	}
}

// A backend that an operator drains gets no new requests. A request that was assigned to it but not yet written goes to
// another backend and does not use up an attempt. The backend warms up when the drain is withdrawn.
func TestOperatorDrain(t *testing.T) {
	for name, target := range map[string]drain.Drain{"a backend": {ID: "i1"}, "a service": {Service: "s"}, "a zone": {}} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer("a1", nil)
			b.addBackend("i1", "a1", "v1", 0, start)
			b.addBackend("far", "a2", "v1", 0, start)
			request := b.startRequest(nonIdempotentPath, start)
			backend := b.Pick(request, start)
			if backend.ID != "i1" || !b.MayWrite(backend, start) {
				t.Fatalf("assigned to %v, or writing is not allowed", backend)
			}
			list := drain.Add(target, func(string) bool { return false }, start)(quorum.Value{})
			b.Configure(testTable(map[string]quorum.Value{drain.ListKey("a1"): list}), start)
			if b.MayWrite(backend, start) {
				t.Error("a request may be written to a drained backend")
			}
			withheld := Outcome{Execution: retry.NotExecuted, Withheld: true}
			b.ReportOutcome(request, backend, withheld, start)
			retryAllowed := b.AllowRetry(request, withheld, start)
			if !retryAllowed || request.Delivered != 0 || request.Attempts != 0 ||
				backend.health.refusingConnections {
				t.Errorf("a withheld attempt is counted: %+v", request)
			}
			if next := b.Pick(request, start); next == nil || next.ID != "far" {
				t.Errorf("the request goes to %v, want the other backend", next)
			}
			withdrawn := drain.Remove(target)(list)
			b.Configure(testTable(map[string]quorum.Value{drain.ListKey("a1"): withdrawn}), start)
			if backend.Drain.State() != draining.Serving || !backend.warmingUntil.After(start) {
				t.Errorf("after the drain was withdrawn: state %v, warms up until %v",
					backend.Drain.State(), backend.warmingUntil)
			}
		})
	}
}

// drainModel applies updates and requests to a balancer, and tracks which backends drain by their newest update.
type drainModel struct {
	b         *Balancer
	now       time.Time
	newest    map[string]int64 // number of the newest heartbeat, by backend
	draining  map[string]bool  // whether the newest heartbeat reports a drain, by backend
	evacuated bool
	version   uint64 // version of the evacuation
	inFlight  []sentRequest
}

// mustNotSend reports whether the backend drains by the newest update.
func (m *drainModel) mustNotSend(id string) bool { return m.draining[id] || m.evacuated }

// heartbeat applies a heartbeat, which may be older than the newest one.
func (m *drainModel) heartbeat(t *rapid.T, id string) {
	number := m.newest[id] + int64(rapid.IntRange(-2, 2).Draw(t, "number"))
	phase := rapid.SampledFrom([]replication.Phase{replication.PhaseReady, replication.PhaseDraining}).Draw(t, "phase")
	if number < 0 {
		return
	}
	update := &replication.Backend{
		Service: "s", Address: "10.0.0.1:1", Zone: "a1", Version: "v1", Capacity: 3, Phase: phase,
		HeartbeatMs: m.now.UnixMilli(),
	}
	m.b.UpdateBackend(id, replication.BackendVersion(number, false), update, m.now)
	if newest, known := m.newest[id]; !known || number > newest {
		m.newest[id] = number
		m.draining[id] = phase == replication.PhaseDraining
	}
}

// toggleEvacuation begins or ends the evacuation of the zone.
func (m *drainModel) toggleEvacuation() {
	m.evacuated = !m.evacuated
	m.version++
	state := "off"
	if m.evacuated {
		state = "on"
	}
	m.b.Configure(testTable(evacuation("a1", m.version, state)), m.now)
}

// send starts a request, which must not be assigned to a draining backend.
func (m *drainModel) send(t *rapid.T) {
	path := rapid.SampledFrom([]string{nonIdempotentPath, idempotentPath}).Draw(t, "path")
	request := m.b.startRequest(path, m.now)
	backend := m.b.Pick(request, m.now)
	if backend == nil {
		return
	}
	if m.mustNotSend(backend.ID) {
		t.Fatalf("%s is picked: draining %v, evacuated %v", backend.ID, m.draining[backend.ID], m.evacuated)
	}
	m.inFlight = append(m.inFlight, sentRequest{request, backend})
}

// finish ends a request in flight. Writing the request must not be allowed if its backend drains.
func (m *drainModel) finish(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	chosen := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	sent := m.inFlight[chosen]
	if m.b.MayWrite(sent.backend, m.now) && m.mustNotSend(sent.backend.ID) {
		t.Fatalf("a request may be written to %s, which drains", sent.backend.ID)
	}
	m.inFlight = append(m.inFlight[:chosen], m.inFlight[chosen+1:]...)
	outcome := rapid.SampledFrom([]Outcome{succeeded, lostResponse, serverError}).Draw(t, "outcome")
	m.b.ReportOutcome(sent.request, sent.backend, outcome, m.now)
}

// counted returns the number of requests in flight by the balancer's count.
func (m *drainModel) counted() (total int) {
	for _, backend := range m.b.backends {
		total += backend.Drain.InFlight()
	}
	for _, backend := range m.b.removedInFlight {
		total += backend.Drain.InFlight()
	}
	return total
}

// For any sequence of updates in any order, no request is assigned or written to a backend that drains by its newest
// update, and every request in flight is counted until it ends.
func TestNoSendToDrainingBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &drainModel{
			b:        newTestBalancer("a1", nil),
			now:      start,
			newest:   map[string]int64{},
			draining: map[string]bool{},
			version:  1,
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			model.now = model.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				model.heartbeat(t, id)
			case 1:
				model.toggleEvacuation()
			case 2, 3:
				model.send(t)
			default:
				model.finish(t)
			}
			if counted := model.counted(); counted != len(model.inFlight) {
				t.Fatalf("%d requests are in flight, but %d are counted", len(model.inFlight), counted)
			}
		}
	})
}
