package draining

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/lease"
)

var start = time.Unix(1_800_000_000, 0)

// The state transitions follow the table in the package comment.
func TestStateTransitions(t *testing.T) {
	type step struct {
		do   func(tracker *Tracker, at time.Time)
		want State
	}
	set := func(reasons Reasons) func(*Tracker, time.Time) {
		return func(tracker *Tracker, at time.Time) { tracker.SetReasons(reasons, at) }
	}
	started := func(tracker *Tracker, _ time.Time) { tracker.RequestStarted(true) }
	finished := func(tracker *Tracker, _ time.Time) { tracker.RequestFinished(true) }
	end := func(tracker *Tracker, at time.Time) { tracker.End(at) }
	for name, steps := range map[string][]step{
		"requests in flight finish": {
			{started, Serving}, {started, Serving}, {set(SelfReported), Draining}, {finished, Draining}, {finished, Drained},
		},
		"nothing in flight": {{set(ZoneEvacuated), Drained}, {set(0), Serving}},
		"withdrawn and repeated": {
			{started, Serving}, {set(OperatorDrain), Draining}, {set(0), Serving},
			{started, Serving}, {set(OperatorDrain), Draining}, {finished, Draining}, {finished, Drained},
		},
		"two reasons, one withdrawn": {
			{set(OperatorDrain | ZoneEvacuated), Drained}, {set(ZoneEvacuated), Drained}, {set(0), Serving},
		},
		"ended while draining": {
			{started, Serving}, {set(SelfReported), Draining}, {end, Ended}, {set(0), Ended}, {finished, Ended},
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := &Tracker{}
			var since time.Time
			for i, step := range steps {
				at := start.Add(time.Duration(i) * time.Second)
				before := tracker.State()
				step.do(tracker, at)
				after := tracker.State()
				if after != step.want {
					t.Errorf("step %d: state %v, want %v", i+1, after, step.want)
				}
				switch {
				case before == Serving && after != Serving:
					since = at
				case after == Serving:
					since = time.Time{}
				}
				if !tracker.DrainingSince().Equal(since) {
					t.Errorf("step %d: draining since %v, want %v", i+1, tracker.DrainingSince(), since)
				}
			}
		})
	}
}

// sendModel is a reference model of Tracker.MaySend.
type sendModel struct {
	leaseDuration      time.Duration
	leaseRenewedAt     time.Time
	confirmedAt        time.Time
	consecutiveCloses  int // consecutive responses that closed the connection
	closesWhileServing bool
}

func (m *sendModel) confirm(at time.Time) {
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

func (m *sendModel) maySend(now time.Time) bool {
	confirmed := now.Sub(m.leaseRenewedAt) < m.leaseDuration || now.Sub(m.confirmedAt) < m.leaseDuration
	return confirmed && (m.consecutiveCloses < drainingCloseCount || m.closesWhileServing)
}

// For any sequence of lease renewals, responses and health checks, a request may be sent only within the lease's
// duration after a confirmation that the backend was not draining. After drainingCloseCount consecutive closed
// connections only the backend's own confirmation counts.
func TestPermissionExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drainTime := rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, 9 * time.Second}).Draw(t, "drain time")
		sendLease := lease.New(drainTime)
		tracker := &Tracker{}
		model := &sendModel{leaseDuration: lease.Duration(drainTime)}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			sentAt := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				sendLease.Renew(sentAt)
				if sentAt.After(model.leaseRenewedAt) {
					model.leaseRenewedAt = sentAt
				}
			case 1:
				tracker.ObserveResponse(sentAt, false)
				model.consecutiveCloses = 0
				model.confirm(sentAt)
			case 2:
				tracker.ObserveResponse(sentAt, true)
				model.consecutiveCloses++
			case 3:
				tracker.ObserveHealthCheck(sentAt, true)
				model.closesWhileServing = model.closesWhileServing || model.consecutiveCloses >= drainingCloseCount
				model.consecutiveCloses = 0
				model.confirm(sentAt)
			case 4:
				tracker.ObserveHealthCheck(sentAt, false)
			}
			want := model.maySend(now)
			if got := tracker.MaySend(&sendLease, now); got != want {
				t.Fatalf("may send: %v, want %v by the model %+v at %v", got, want, model, now)
			}
		}
	})
}
