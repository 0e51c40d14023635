package main

import (
	"fmt"
	"time"

	"sagelever/internal/agent/policy"
	"sagelever/internal/sim/protocol"
)

// instance is a running instance of the policy.
type instance struct {
	startedAt time.Duration    // on the simulator's clock
	policy    *policy.Balancer // nil if its creation failed
}

// host holds the running instances by name.
type host struct {
	instances map[string]*instance
}

func newHost() *host { return &host{instances: map[string]*instance{}} }

// run handles the events of a batch in order. It returns one reply for each instance, in the order of the instances'
// first events.
func (h *host) run(batch *protocol.Batch) []protocol.Reply {
	var replies []protocol.Reply
	replyIndex := map[string]int{}
	for _, event := range batch.Events {
		index, found := replyIndex[event.Instance]
		if !found {
			index = len(replies)
			replyIndex[event.Instance] = index
			replies = append(replies, protocol.Reply{Instance: event.Instance})
		}
		h.handle(event, batch.Clock, &replies[index])
	}
	return replies
}

// handle applies an event and adds the resulting actions to the reply of the instance. A start or a stop discards the
// actions that an earlier instance with the same name returned in the same batch. Events for an instance that is not
// running are ignored.
func (h *host) handle(event protocol.InstanceEvent, clock time.Duration, reply *protocol.Reply) {
	switch {
	case event.Start != nil:
		reply.Actions = nil
		started := &instance{startedAt: clock}
		h.instances[event.Instance] = started
		reportPanic(reply, func() { started.policy = policy.New(event.Start.Seed, event.Start.Settings) })
	case event.Stop:
		reply.Actions = nil
		delete(h.instances, event.Instance)
	default:
		running := h.instances[event.Instance]
		if running == nil || running.policy == nil {
			return
		}
		reportPanic(reply, func() {
			actions := running.policy.Step(clock-running.startedAt, event.Event)
			reply.Actions = append(reply.Actions, actions...)
		})
	}
}

// reportPanic calls a function of the policy. If the function panics, it adds a PolicyFailure to the reply.
func reportPanic(reply *protocol.Reply, call func()) {
	defer func() {
		if reason := recover(); reason != nil {
			reply.Actions = append(reply.Actions, protocol.PolicyFailure{Text: fmt.Sprint(reason)})
		}
	}()
	call()
}
