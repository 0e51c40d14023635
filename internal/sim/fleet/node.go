package fleet

import (
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/policy"
)

const (
	messageDelay  = 5 * time.Millisecond   // delay of a message between agents
	voteDelay     = 100 * time.Millisecond // delay of a vote to the platform
	minRetryDelay = 50 * time.Millisecond  // minimum delay before a deferred client retries
	keyCount      = 5000                   // number of affinity keys that clients use
)

// Node is one agent, which runs the real policy.
type Node struct {
	simulation   *Simulation
	number       int
	policy       *policy.Balancer
	startedAt    time.Duration // start of this incarnation, from which the policy's time counts
	incarnation  int           // number of times the agent has started
	alive        bool
	transactions map[api.TransactionID]*transaction // those without a final answer
	attempts     map[api.TransactionID][]*attempt   // indexed by attempt number
}

// transaction is a transaction that an agent has accepted.
type transaction struct {
	workload   *Workload
	acceptedAt time.Duration
	deadline   time.Duration
	done       bool                     // whether the final answer was given
	runCount   int                      // number of executed attempts, counted if the transaction must not run twice
	retry      func(wait time.Duration) // schedules a retry by the client after a deferral; nil if it does not retry
}

// Start starts an agent without any state of an earlier incarnation.
func (n *Node) Start() {
	n.incarnation++
	n.alive = true
	n.startedAt = n.simulation.Now
	n.policy = n.simulation.newPolicy(n.number)
	n.transactions = map[api.TransactionID]*transaction{}
	n.attempts = map[api.TransactionID][]*attempt{}
	n.deliver(n.backendUpdate(api.UpdateSnapshot))
	n.deliver(n.simulation.Platform.rollout)
}

// Kill terminates an agent: its transactions are lost, and the backends stop working on them.
func (n *Node) Kill() {
	n.alive = false
	for _, attempts := range n.attempts {
		for _, a := range attempts {
			a.finished = true
			if a.working {
				a.backend.release(a)
			}
		}
	}
}

// after calls do after a delay, unless the agent has been killed by then.
func (n *Node) after(d time.Duration, do func()) {
	incarnation := n.incarnation
	n.simulation.After(d, func() {
		if n.alive && n.incarnation == incarnation {
			do()
		}
	})
}

// backendUpdate returns discovery's list of backends, with start times relative to the agent's own start.
func (n *Node) backendUpdate(kind api.UpdateKind) api.BackendUpdate {
	n.simulation.version++
	update := api.BackendUpdate{Kind: kind, Version: n.simulation.version}
	for _, backend := range n.simulation.Fleet {
		entry := backend.Backend
		if entry.Started != api.UnknownStart {
			entry.Started -= n.startedAt
		}
		update.Backends = append(update.Backends, entry)
	}
	return update
}

// deliver passes an event to the policy and executes the resulting actions.
func (n *Node) deliver(event api.Event) {
	for _, action := range n.policy.Step(n.simulation.Now-n.startedAt, event) {
		n.execute(action)
	}
}

// execute executes one action of the policy.
func (n *Node) execute(action api.Action) {
	simulation := n.simulation
	switch a := action.(type) {
	case api.SetTimer:
		n.after(a.After, func() { n.deliver(api.TimerFired{Timer: a.Timer}) })
	case api.StartAttempt:
		n.startAttempt(a)
	case api.CancelAttempt:
		n.cancelAttempt(a)
	case api.DeferTransaction:
		simulation.counts().Deferred++
		simulation.counts().Reasons[a.Reason]++
		if tx := n.finish(a.Transaction); tx != nil && tx.retry != nil {
			tx.retry(max(a.RetryAfter, minRetryDelay))
		}
	case api.FailTransaction:
		simulation.counts().Failed++
		simulation.counts().Reasons[a.Reason]++
		n.finish(a.Transaction)
	case api.SendMessage:
		n.sendMessage(a)
	case api.LogLine:
		simulation.LogLines = append(simulation.LogLines,
			fmt.Sprintf("%.2f agent %d: %s", simulation.Now.Seconds(), n.number, a.Text))
	case api.CastVote:
		simulation.counts().Votes[a.Verdict]++
		incarnation := n.incarnation
		simulation.After(voteDelay, func() { simulation.Platform.receiveVote(simulation, n, incarnation, a) })
	}
}

// sendMessage sends a message to one other agent or to all of them.
func (n *Node) sendMessage(message api.SendMessage) {
	for to, peer := range n.simulation.Nodes {
		if to == n.number || !message.All && to != int(message.To) {
			continue
		}
		n.simulation.counts().Messages++
		n.simulation.After(messageDelay, func() {
			if peer.alive {
				peer.deliver(api.MessageReceived{From: api.PeerNumber(n.number), Data: message.Data})
			}
		})
	}
}

// finish gives a transaction its final answer and returns it. If it has been answered already, finish records a
// violation and returns nil.
func (n *Node) finish(id api.TransactionID) *transaction {
	tx := n.transactions[id]
	if tx == nil || tx.done {
		n.simulation.violation("agent %d answered %s twice", n.number, id)
		return nil
	}
	tx.done = true
	delete(n.transactions, id)
	return tx
}

// accept creates a transaction and delivers it to the policy.
func (n *Node) accept(workload *Workload, retry func(time.Duration)) {
	simulation := n.simulation
	simulation.lastTransaction++
	id := api.TransactionID(fmt.Sprint("t", simulation.lastTransaction))
	n.transactions[id] = &transaction{
		workload:   workload,
		acceptedAt: simulation.Now,
		deadline:   simulation.Now + workload.Abandon,
		retry:      retry,
	}
	n.deliver(api.TransactionAccepted{
		ID:       id,
		Workload: workload.Name,
		Timeout:  workload.Abandon,
		Key:      api.AffinityKey(fmt.Sprint(simulation.random.IntN(keyCount))),
	})
}

// startAttempt sends an attempt to its backend.
func (n *Node) startAttempt(action api.StartAttempt) {
	simulation := n.simulation
	tx := n.transactions[action.Transaction]
	if tx == nil {
		simulation.violation("agent %d sent %s after its answer", n.number, action.Transaction)
		return
	}
	number := api.AttemptNumber(len(n.attempts[action.Transaction]))
	incarnation := n.incarnation
	started := &attempt{
		backend:   simulation.backend(action.Backend),
		startedAt: simulation.Now,
		work:      time.Duration(simulation.random.ExpFloat64() * float64(tx.workload.Work)),
	}
	if tx.workload.Effect == "effectful" {
		started.runCount = &tx.runCount
	}
	started.report = func(outcome api.Outcome, load map[string]float64) {
		if n.alive && n.incarnation == incarnation {
			n.endAttempt(tx, api.AttemptEnded{
				Transaction: action.Transaction,
				Backend:     action.Backend,
				Attempt:     number,
				Elapsed:     simulation.Now - started.startedAt,
				Outcome:     outcome,
				Load:        load,
			})
		}
	}
	n.attempts[action.Transaction] = append(n.attempts[action.Transaction], started)
	if started.backend == nil {
		simulation.After(0, func() { started.cancel(api.Unreachable) })
		return
	}
	simulation.After(simulation.NetworkDelay, func() { started.backend.receive(started) })
	simulation.At(tx.deadline, func() { started.cancel(api.TimedOut) })
}

// cancelAttempt cancels an attempt at the current time, but after the current step of the policy.
func (n *Node) cancelAttempt(action api.CancelAttempt) {
	attempts := n.attempts[action.Transaction]
	if int(action.Attempt) < len(attempts) {
		canceled := attempts[action.Attempt]
		n.simulation.After(0, func() { canceled.cancel(api.Canceled) })
	}
}

// endAttempt records the outcome of an attempt and delivers it to the policy. The first success is the final answer of
// the transaction.
func (n *Node) endAttempt(tx *transaction, ended api.AttemptEnded) {
	counts := n.simulation.counts()
	counts.Attempts[ended.Outcome]++
	if ended.Outcome == api.Succeeded && !tx.done {
		n.finish(ended.Transaction)
		if n.simulation.Now-tx.acceptedAt <= tx.workload.Goal {
			counts.InGoal++
			counts.Earned += tx.workload.Payoff
		} else {
			counts.Late++
		}
	}
	ended.TransactionDone = tx.done
	if tx.runCount > 1 {
		n.simulation.violation("%s ran %d times", ended.Transaction, tx.runCount)
	}
	n.deliver(ended)
}
