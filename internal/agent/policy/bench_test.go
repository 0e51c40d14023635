package policy

import (
	"fmt"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

// largeBalancer returns an agent with many backends: a tenth run the build on trial, and half have outcomes.
func largeBalancer(backends int) *Balancer {
	b := newTestBalancer(0.12, map[string]any{"agents": 300.0, "number": 0.0, "may.tell": true, "trial.oneway": true,
		"trial.control": "single", "trial.caps": []float64{0.12, 0.42, 1}, "load.fields": []string{"queue"}})
	for i := range backends {
		build := api.Build(1)
		if i%10 == 0 {
			build = 2
		}
		backend := b.addBackend(api.BackendID(1000+i), build)
		if i%2 == 0 {
			b.addOutcomes(backend, arm{outcomes: 10, payoff: 9, faults: 1})
		}
	}
	b.heartbeat()
	b.actions = nil
	return b
}

// BenchmarkTransaction measures one transaction from acceptance to answer.
func BenchmarkTransaction(tb *testing.B) {
	for _, backends := range []int{10, 60, 150} {
		tb.Run(fmt.Sprint(backends), func(tb *testing.B) {
			b := largeBalancer(backends)
			tb.ReportAllocs()
			for i := 0; tb.Loop(); i++ {
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

// BenchmarkHeartbeat measures one heartbeat, which runs fifty times a second regardless of traffic.
func BenchmarkHeartbeat(tb *testing.B) {
	for _, backends := range []int{10, 60, 150} {
		tb.Run(fmt.Sprint(backends), func(tb *testing.B) {
			b := largeBalancer(backends)
			tb.ReportAllocs()
			for tb.Loop() {
				b.now += heartbeatInterval
				b.actions = nil
				b.heartbeat()
				clear(b.timers)
			}
		})
	}
}
