package server

import (
	"context"
	"sync"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
	"sagelever/internal/rpc"
)

const (
	// discoverInterval is how often the members are compared with those that are pulled from: rarely, as only a
	// membership that the other members have changed without this one is left to find out.
	discoverInterval = 8 * tickInterval

	// urgentDiscoverInterval is the same while this member is cut off from the majority.
	urgentDiscoverInterval = tickInterval

	// pullRetryInterval is the pause after a failed pull, and after one that was answered at once without updates.
	pullRetryInterval = tickInterval

	// pullGrace is how long a response to a pull may take beyond the wait that was asked for.
	pullGrace = time.Second

	// deferPollInterval is how often a pull loop checks whether it may begin.
	deferPollInterval = 10 * time.Millisecond

	// replicationPollInterval is how often it is checked whether an item has reached enough members.
	replicationPollInterval = 15 * time.Millisecond

	// maxEmptyPulls is how many pulls in a row may be answered at once and without updates before the loop pauses.
	maxEmptyPulls = 1
)

// discoverMembers keeps a pull loop running for each other member until ctx ends. It also asks the seed addresses who
// the members are, as long as this controller is cut off from the majority or knows no other member.
func (s *Server) discoverMembers(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	cancels := map[string]context.CancelFunc{} // of the pull loops, by address
	for ctx.Err() == nil {
		s.mu.Lock()
		members := s.replica.OtherMembers()
		contacts := s.contacts
		connected := s.replica.HasQuorum(s.now())
		s.mu.Unlock()
		s.updatePullLoops(ctx, &loops, cancels, members)
		interval := discoverInterval
		if !connected {
			interval = urgentDiscoverInterval
		}
		if !connected || len(members) == 0 {
			s.probeContacts(ctx, contacts)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// updatePullLoops starts the loops of new members and cancels those of former ones.
func (s *Server) updatePullLoops(
	ctx context.Context, loops *sync.WaitGroup, cancels map[string]context.CancelFunc, members []message.Member,
) {
	present := map[string]bool{}
	for _, member := range members {
		present[member.Addr] = true
		if cancels[member.Addr] != nil {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		cancels[member.Addr] = cancel
		loops.Go(func() { s.pullLoop(loopCtx, member) })
	}
	for address, cancel := range cancels {
		if !present[address] {
			cancel()
			delete(cancels, address)
		}
	}
}

// pullLoop pulls updates from a member until ctx ends. Each pull waits at the member until there are updates. The loop
// pauses after a failure, and when the member goes on answering at once without updates.
func (s *Server) pullLoop(ctx context.Context, member message.Member) {
	poll(ctx, deferPollInterval, func() bool { return !s.deferPull(member) })
	emptyPulls := 0
	for ctx.Err() == nil {
		started := time.Now()
		pullCtx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.cancelPulls[member.Addr] = cancel
		s.mu.Unlock()
		items, err := s.pullOnce(pullCtx, member)
		if items > 0 || time.Since(started) > tickInterval {
			emptyPulls = 0
		} else {
			emptyPulls++
		}
		if err != nil || emptyPulls > maxEmptyPulls {
			select {
			case <-time.After(pullRetryInterval):
			case <-pullCtx.Done(): // pullNow has found out that the member is up
			}
		}
		cancel()
	}
}

// deferPull reports whether the first pull from a member is to wait.
func (s *Server) deferPull(member message.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.DeferPull(s.now(), member)
}

// pullOnce sends one pull and hands the response to the replica. It returns the number of items received.
func (s *Server) pullOnce(ctx context.Context, source message.Member) (items int, err error) {
	s.mu.Lock()
	request := s.replica.NewPullRequest(s.now(), source)
	s.mu.Unlock()
	body, err := easyjson.Marshal(request)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+pullGrace)
	defer cancel()
	response := &message.PullResponse{}
	if err := rpc.Post(ctx, s.peerClient, source.Addr, message.PullPath, body, response); err != nil {
		return 0, err
	}
	s.step(func(now time.Time) { s.replica.HandlePullResponse(now, source, request, response) })
	return len(response.Items), nil
}

// probeContacts asks the controllers at some control addresses, except this one, who the members are.
func (s *Server) probeContacts(ctx context.Context, contacts []string) {
	for _, address := range s.peerAddresses(contacts) {
		if address != s.self.Addr {
			go s.probe(ctx, address)
		}
	}
}

// probe pulls once from a controller of which only the peer address is known. Its response names the members.
func (s *Server) probe(ctx context.Context, address string) {
	_, _ = s.pullOnce(ctx, message.Member{Addr: address}) // discoverMembers tries again after a failure
}

// awaitReplication waits until enough members hold an item, as this replica holds it, for it to be acknowledged. It
// returns errNotReplicated if ctx ends first.
func (s *Server) awaitReplication(ctx context.Context, key string) error {
	started := s.now()
	replicated := poll(ctx, replicationPollInterval, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.replica.Replicated(s.now(), key, started)
	})
	if !replicated {
		return errNotReplicated
	}
	return nil
}

// awaitPropagation gives the other members a moment to learn of a register that takes backends out of service, so that
// no proxy still sends to them when the operator is answered. The register is durable already: the operation succeeds
// whether they have learned of it or not.
func (s *Server) awaitPropagation(ctx context.Context, register string) {
	ctx, cancel := context.WithTimeout(ctx, replica.RemovalReplicationWait)
	defer cancel()
	_ = s.awaitReplication(ctx, replication.RegisterKeyPrefix+register) // see above: late members change nothing
}
