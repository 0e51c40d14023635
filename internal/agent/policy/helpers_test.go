package policy

import (
	"time"

	"sagelever/internal/agent/api"
)

// newTestBalancer returns an agent with a pure, a receipted and an effectful workload, and with build 2 on trial.
func newTestBalancer(exposureCap float64, overrides map[string]any) *Balancer {
	settings := map[string]any{"tick": 5 * time.Millisecond, "agents": 3.0, "sends.most": 4.0, "may.calloff": true,
		"trial.window": 2 * time.Second, "trial.allowance": 2.0, "trial.caps": []float64{0.1, 1},
		"cold.time": 4 * time.Second, "cold.from": 0.4, "fall.time": time.Second, "fall.multiple": 2.0}
	for _, effect := range []string{"pure", "receipted", "effectful"} {
		prefix := "workload." + effect + "."
		settings[prefix+"effect"], settings[prefix+"group"], settings[prefix+"memory"] = effect, "all", 2*time.Second
		settings[prefix+"goal"], settings[prefix+"abandon"] = 500*time.Millisecond, 2*time.Second
	}
	for k, v := range overrides {
		settings[k] = v
	}
	b := New(7, settings)
	b.now = 100 * time.Second
	b.rollout, b.rolloutKnown = api.RolloutUpdate{Build: 2, Cap: exposureCap}, true
	b.trialBuild, b.degradedSince = 2, b.now
	return b
}

// addBackend adds a listed backend that is not warming up.
func (b *Balancer) addBackend(id api.BackendID, build api.Build) *backend {
	backend := &backend{Backend: api.Backend{ID: id, Build: build, Started: api.UnknownStart}, listed: true}
	b.backends[id] = backend
	b.ordered = append(b.ordered, backend)
	b.listedCount++
	return backend
}

// addTransaction adds an accepted transaction.
func (b *Balancer) addTransaction(id api.TransactionID, effect api.Workload) *transaction {
	tx := &transaction{TransactionAccepted: api.TransactionAccepted{ID: id, Workload: effect},
		workload: b.workloadOf(effect), acceptedAt: b.now, mayHaveRunAt: -1}
	tx.flow = b.flowOf(tx.workload, "")
	b.transactions[id] = tx
	return tx
}

// putInFlight starts an attempt at a backend and discards the actions.
func (b *Balancer) putInFlight(tx *transaction, backend *backend) {
	b.startAttempt(tx, backend)
	b.actions = nil
}

// actionsOf returns the pending actions of one type.
func actionsOf[T api.Action](b *Balancer) (list []T) {
	for _, a := range b.actions {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}
