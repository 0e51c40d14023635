package fleet

import (
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/policy"
)

const (
	messageDelay  = 5 * time.Millisecond   // of a message between agents
	voteDelay     = 100 * time.Millisecond // of a vote to the platform
	minRetryDelay = 50 * time.Millisecond  // of a client that was deferred
	keyCount      = 5000                   // affinity keys that clients have
)

// Node is one agent, with the real policy.
type Node struct {
	simulation   *Simulation
	number       int
	policy       *policy.Balancer
	startedAt    time.Duration // of this incarnation; the policy's time counts from it
	incarnation  int           // how often the agent has started
	alive        bool
	transactions map[api.TransactionID]*transaction // without a final answer
	attempts     map[api.TransactionID][]*attempt   // by their number
}

// transaction is a transaction of an agent.
type transaction struct {
	workload   *Workload
	acceptedAt time.Duration
	deadline   time.Duration
	done       bool                     // it has its final answer
	runCount   int                      // attempts that ran, if it must not run twice
	retry      func(wait time.Duration) // has the client return if it is deferred, nil if it does not
}

// Start starts an agent without any memory of an earlier incarnation.
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

// Kill ends an agent: its transactions are lost, and its backends stop working on them.
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

// after does something after a time, unless the agent has died by then.
func (n *Node) after(d time.Duration, do func()) {
	incarnation := n.incarnation
	n.simulation.After(d, func() {
		if n.alive && n.incarnation == incarnation {
			do()
		}
	})
}

// backendUpdate is discovery's list, in this agent's time.
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

// deliver steps the policy with an event and carries out its actions.
func (n *Node) deliver(event api.Event) {
	for _, action := range n.policy.Step(n.simulation.Now-n.startedAt, event) {
		n.execute(action)
	}
}

// execute carries out one action of the policy.
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

// sendMessage sends a message to one agent, or to all others.
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

// finish returns a transaction its final answer. It returns nil if it has one already.
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

// accept hands the agent a transaction.
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

// cancelAttempt cancels an attempt at this moment, but after the policy's step.
func (n *Node) cancelAttempt(action api.CancelAttempt) {
	attempts := n.attempts[action.Transaction]
	if int(action.Attempt) < len(attempts) {
		canceled := attempts[action.Attempt]
		n.simulation.After(0, func() { canceled.cancel(api.Canceled) })
	}
}

// endAttempt takes an attempt's outcome. The first success is the final answer of its transaction.
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
