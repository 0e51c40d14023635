package decide

import (
	"time"

	"sagelever/agent"
)

// bench builds an agent with one pure, one receipted and one effectful workload and news of build 2 on trial.
func bench(cap float64, extra map[string]any) *Balancer {
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
	b.news, b.told = agent.TrialNews{Build: 2, Cap: cap}, true
	b.subject, b.harmSince = 2, b.now
	return b
}

// join lists an appliance that has run for long.
func (b *Balancer) join(id agent.ApplianceID, build agent.Build) *appliance {
	a := &appliance{Appliance: agent.Appliance{ID: id, Build: build, Started: agent.LongAgo}, listed: true}
	b.fleet[id] = a
	b.order = append(b.order, a)
	b.up++
	return a
}

// hold makes a transaction that the agent has taken.
func (b *Balancer) hold(id agent.TransactionID, effect agent.Workload) *transaction {
	t := &transaction{Taken: agent.Taken{ID: id, Workload: effect}, work: b.workload(effect), at: b.now, ran: -1}
	t.flow = b.flow(t.work, "")
	b.open[id] = t
	return t
}

// out puts a send of t at a, as of now.
func (b *Balancer) putOut(t *transaction, a *appliance) {
	b.sendTo(t, a)
	b.actions = nil
}

// tell gives the actions of one kind that stand to be carried out.
func wanted[T agent.Action](b *Balancer) (list []T) {
	for _, a := range b.actions {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}
