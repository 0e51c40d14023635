package replica

import (
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
)

// Timeouts and delays of calls between controllers, as in the server.
const (
	requestTimeout     = 4 * time.Second
	connectionTimeout  = 1500 * time.Millisecond
	pullRetryDelay     = 250 * time.Millisecond
	pullTimeoutReserve = time.Second // the timeout of a pull is its waiting time plus this
)

// deliver schedules the arrival of a message from one node at another, unless the message is lost. It reports whether
// the message is on its way.
func (sim *simulation) deliver(from, to int, arrive func()) bool {
	if sim.nodes[from].unreachable[to] || sim.injectsFaults && sim.oneIn(25) {
		return false
	}
	delay := sim.randomDuration(1, 40)
	if sim.latency != nil {
		delay = sim.latency(from, to)
	}
	if sim.injectsFaults && sim.oneIn(20) {
		delay = sim.randomDuration(40, 900)
	}
	sim.schedule(delay, arrive)
	return true
}

// sendRequest sends a request to another node and delivers its response. If either is lost, the replica gets a nil
// response after requestTimeout.
func (node *simNode) sendRequest(request OutgoingRequest) {
	sim, incarnation := node.sim, node.incarnation
	ended := false
	handleResponse := func(response *message.PeerResponse) {
		if ended || !node.isRunning(incarnation) {
			return
		}
		ended = true
		response = sim.mutateResponse(node, request, response)
		node.step(func(now time.Time) { node.replica.HandleResponse(now, request.ID, response) })
	}
	addressed := sim.nodeByAddr(request.To.Addr)
	to, sent := sim.mutateRequest(addressed, request)
	deliver := func() {
		if request.To.Addr != addressed.self.Addr {
			return // the receiver has moved
		}
		if request.Path == sim.unsupportedPath || !slices.Contains(message.ReplicaPaths(), request.Path) {
			sim.deliver(to.index, node.index, func() { handleResponse(nil) })
			return
		}
		to.serveRequest(sent, func(diskID string, response *message.PeerResponse) {
			sim.checkVoter(to, diskID, request, response)
			sim.deliver(to.index, node.index, func() { handleResponse(response) })
		})
	}
	sim.messagesSent++
	sim.measureMessage(request.Request)
	sim.faultDuringReconfiguration(request)
	sim.deliver(node.index, to.index, deliver)
	if sim.injectsFaults && sim.oneIn(15) { // a duplicate
		sim.schedule(sim.randomDuration(0, 500), func() { sim.deliver(node.index, to.index, deliver) })
	}
	sim.schedule(requestTimeout, func() { handleResponse(nil) })
}

// serveRequest passes a request to the replica. respond is called with the response and the ID of the disk on which the
// replica ran when it received the request.
func (node *simNode) serveRequest(request OutgoingRequest, respond func(diskID string, response *message.PeerResponse)) {
	sim := node.sim
	node.step(func(now time.Time) {
		node.lastCallID++
		diskID := node.replica.local.self.DiskID
		node.pendingCalls[node.lastCallID] = func(response *message.PeerResponse) {
			sim.messagesSent++
			if response != nil {
				sim.measureMessage(response)
			}
			respond(diskID, response)
		}
		sim.mutateBefore(node, request)
		node.replica.HandleRequest(now, node.lastCallID, request.Path, request.Request)
		sim.mutateAfter(node)
	})
}

// pullMembers pulls the configuration from another node, without waiting for news.
func (node *simNode) pullMembers(to, incarnation int) {
	sim := node.sim
	other := sim.nodes[to]
	request := node.replica.NewPullRequest(node.clock(), message.Member{Addr: other.self.Addr})
	sent := throughJSON(request, &message.PullRequest{})
	handleResponse := func(response *message.PullResponse) {
		if node.isRunning(incarnation) {
			node.step(func(now time.Time) {
				node.replica.HandlePullResponse(now, message.Member{}, request, response)
			})
		}
	}
	reply := func(response *message.PullResponse) {
		sim.deliver(to, node.index, func() { handleResponse(response) })
	}
	sim.deliver(node.index, to, func() {
		if other.up {
			other.servePull(sent, 0, reply, func() {})
		}
	})
}

// pullLoop pulls from a node after a delay, and repeatedly while the node is a member.
func (node *simNode) pullLoop(to, incarnation int, delay time.Duration) {
	node.sim.schedule(delay, func() {
		if !node.isRunning(incarnation) {
			return
		}
		other := node.sim.nodes[to].self
		isOther := func(member message.Member) bool { return member.Addr == other.Addr }
		if !slices.ContainsFunc(node.replica.OtherMembers(), isOther) {
			delete(node.pulledPeers, other.Addr)
			return
		}
		if node.frozen || node.replica.DeferPull(node.clock(), other) {
			node.pullLoop(to, incarnation, 10*time.Millisecond)
			return
		}
		node.pullOnce(to, incarnation)
	})
}

// pullOnce pulls from a member and continues the pull loop after the response or a failure.
func (node *simNode) pullOnce(to, incarnation int) {
	sim, other := node.sim, node.sim.nodes[to]
	request := node.replica.NewPullRequest(node.clock(), other.self)
	sent := throughJSON(request, &message.PullRequest{})
	wait := time.Duration(sent.WaitMs) * time.Millisecond
	ended := false
	fail := func() {
		if !ended {
			ended = true
			node.pullLoop(to, incarnation, pullRetryDelay)
		}
	}
	lose := func() { sim.schedule(connectionTimeout, fail) }
	handleResponse := func(response *message.PullResponse) {
		if ended || !node.isRunning(incarnation) {
			return
		}
		ended = true
		sim.measurePullResponse(node, response)
		node.step(func(now time.Time) { node.replica.HandlePullResponse(now, other.self, request, response) })
		node.pullLoop(to, incarnation, 0)
	}
	reply := func(response *message.PullResponse) {
		sim.schedule(sim.transferTime(response), func() {
			if !sim.deliver(to, node.index, func() { handleResponse(response) }) {
				lose()
			}
		})
	}
	delivering := sim.deliver(node.index, to, func() {
		if !other.up {
			sim.schedule(sim.randomDuration(1, 40), fail)
			return
		}
		other.servePull(sent, wait, reply, fail)
	})
	if !delivering {
		lose()
	}
	sim.schedule(wait+pullTimeoutReserve, fail)
}

// simPull is a pull that a node has received.
type simPull struct {
	pending  *PendingPull
	reply    func(*message.PullResponse) // nil after the pull is answered
	peerDied func()                      // called if the receiving process ends before it answers
}

// servePull receives a pull and answers it when there are new items, or after the waiting time.
func (node *simNode) servePull(
	request *message.PullRequest, wait time.Duration, reply func(*message.PullResponse), peerDied func(),
) {
	sim, incarnation := node.sim, node.incarnation
	node.step(func(now time.Time) {
		pull := &simPull{node.replica.HandlePull(now, request), reply, peerDied}
		node.pendingPulls = append(node.pendingPulls, pull)
		sim.schedule(wait, func() {
			if node.isRunning(incarnation) && !node.frozen {
				node.answerPull(pull, true)
			}
		})
	})
	if node.up && !node.frozen {
		node.servePendingPulls()
	}
}

// answerPull answers a pull if there are new items or its waiting time has passed.
func (node *simNode) answerPull(pull *simPull, waited bool) {
	if pull.reply == nil {
		return
	}
	if response, ready := node.replica.AnswerPull(node.clock(), pull.pending); ready || waited {
		reply := pull.reply
		pull.reply = nil
		node.sim.log(node.index, "answers a pull", traced{response})
		reply(node.sim.checkPullResponse(response))
	}
}

func (node *simNode) servePendingPulls() {
	for _, pull := range node.pendingPulls {
		node.answerPull(pull, false)
	}
	isAnswered := func(pull *simPull) bool { return pull.reply == nil }
	node.pendingPulls = slices.DeleteFunc(node.pendingPulls, isAnswered)
}

// throughJSON encodes a message and decodes it into out, as a transfer does.
func throughJSON[T easyjson.Unmarshaler](in easyjson.Marshaler, out T) T {
	encoded, err := easyjson.Marshal(in)
	if err == nil {
		err = easyjson.Unmarshal(encoded, out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

// encodedSize returns the size of a message on the wire.
func encodedSize(in easyjson.Marshaler) int {
	encoded, err := easyjson.Marshal(in)
	if err != nil {
		panic(err)
	}
	return len(encoded)
}

// transferTime returns how long a message occupies a link, in addition to the latency.
func (sim *simulation) transferTime(in easyjson.Marshaler) time.Duration {
	if sim.bandwidth == 0 {
		return 0
	}
	return time.Duration(encodedSize(in)) * time.Second / time.Duration(sim.bandwidth)
}

// measureMessage updates largestMessage if the test measures messages.
func (sim *simulation) measureMessage(in easyjson.Marshaler) {
	if sim.measuresMessages {
		sim.largestMessage = max(sim.largestMessage, encodedSize(in))
	}
}

// measurePullResponse counts the bytes of a pull response to the measured node, and measures it as a message.
func (sim *simulation) measurePullResponse(receiver *simNode, response *message.PullResponse) {
	if receiver.index == sim.measuredNode {
		sim.measuredBytes += encodedSize(response)
	}
	sim.measureMessage(response)
}
