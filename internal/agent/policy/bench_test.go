package policy

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// largeBalancer is an agent that knows a fleet of backends, a tenth of them on trial and half of them with outcomes.
func largeBalancer(backends int) *Balancer {
	b := newTestBalancer(0.12, map[string]any{"agents": 300.0, "number": 0.0, "may.tell": true, "trial.oneway": true,
		"trial.control": "single", "trial.caps": []float64{0.12, 0.42, 1}, "load.fields": []string{"queue"}})
	for i := range backends {
		build := api.Build(1)
		if i%10 == 0 {
			build = 2
		}
		a := b.addBackend(api.BackendID(1000+i), build)
		if i%2 == 0 {
			b.creditOutcome(a, arm{outcomes: 10, payoff: 9, faults: 1})
		}
	}
	b.heartbeat()
	b.actions = nil
	return b
}

// BenchmarkTransaction is one transaction from its acceptance to its answer.
func BenchmarkTransaction(x *testing.B) {
	for _, backends := range []int{10, 60, 150} {
		x.Run(fmt.Sprint(backends), func(x *testing.B) {
			b := largeBalancer(backends)
			x.ReportAllocs()
			for i := 0; x.Loop(); i++ {
				id := api.TransactionID(fmt.Sprint(i))
				b.now += 10 * time.Millisecond
				for _, a := range b.Step(b.now, api.TransactionAccepted{ID: id, Workload: "pure", Timeout: time.Second, Key: "k"}) {
					if s, ok := a.(api.StartAttempt); ok {
						b.Step(b.now+5*time.Millisecond, api.AttemptEnded{Transaction: id, Backend: s.Backend,
							Elapsed: 5 * time.Millisecond})
					}
				}
				clear(b.timers)
			}
		})
	}
}

// BenchmarkHeartbeat is what happens fifty times a second whether or not there is a transaction.
func BenchmarkHeartbeat(x *testing.B) {
	for _, backends := range []int{10, 60, 150} {
		x.Run(fmt.Sprint(backends), func(x *testing.B) {
			b := largeBalancer(backends)
			x.ReportAllocs()
			for x.Loop() {
				b.now += heartbeatInterval
				b.actions = nil
				b.heartbeat()
				clear(b.timers)
			}
		})
	}
}
