package policy

import (
	"time"

	"sagelever/internal/agent/api"
)

// newTestBalancer makes an agent with one pure, one receipted and one effectful workload, and with build 2 on trial.
func newTestBalancer(cap float64, extra map[string]any) *Balancer {
	terms := map[string]any{"tick": 5 * time.Millisecond, "agents": 3.0, "sends.most": 4.0, "may.calloff": true,
		"trial.window": 2 * time.Second, "trial.allowance": 2.0, "trial.caps": []float64{0.1, 1},
		"cold.time": 4 * time.Second, "cold.from": 0.4, "fall.time": time.Second, "fall.multiple": 2.0}
	for _, effect := range []string{"pure", "receipted", "effectful"} {
		p := "workload." + effect + "."
		terms[p+"effect"], terms[p+"group"], terms[p+"memory"] = effect, "all", 2*time.Second
		terms[p+"goal"], terms[p+"abandon"] = 500*time.Millisecond, 2*time.Second
	}
	for k, v := range extra {
		terms[k] = v
	}
	b := New(7, terms)
	b.now = 100 * time.Second
	b.rollout, b.rolloutKnown = api.RolloutUpdate{Build: 2, Cap: cap}, true
	b.trialBuild, b.harmSince = 2, b.now
	return b
}

// addBackend lists a backend that has run for long.
func (b *Balancer) addBackend(id api.BackendID, build api.Build) *backend {
	backend := &backend{Backend: api.Backend{ID: id, Build: build, Started: api.UnknownStart}, listed: true}
	b.backends[id] = backend
	b.ordered = append(b.ordered, backend)
	b.listedCount++
	return backend
}

// addTransaction makes a transaction that the agent has accepted.
func (b *Balancer) addTransaction(id api.TransactionID, effect api.Workload) *transaction {
	tx := &transaction{TransactionAccepted: api.TransactionAccepted{ID: id, Workload: effect},
		workload: b.workloadOf(effect), acceptedAt: b.now, mayHaveRunAt: -1}
	tx.flow = b.flowOf(tx.workload, "")
	b.transactions[id] = tx
	return tx
}

// putInFlight starts an attempt at a backend now.
func (b *Balancer) putInFlight(tx *transaction, backend *backend) {
	b.startAttempt(tx, backend)
	b.actions = nil
}

// actionsOf returns the actions of one type that wait to be carried out.
func actionsOf[T api.Action](b *Balancer) (list []T) {
	for _, a := range b.actions {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}
