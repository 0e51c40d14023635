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
	// discoverInterval is the interval at which the pull loops are updated to the current members. It is long because
	// it only delays the discovery of a membership that the other members have changed without this one.
	discoverInterval = 8 * tickInterval

	// urgentDiscoverInterval replaces discoverInterval while this member does not reach a majority.
	urgentDiscoverInterval = tickInterval

	// pullRetryInterval is the pause after a failed pull, and after more than maxEmptyPulls immediate responses without
	// updates in a row.
	pullRetryInterval = tickInterval

	// pullGrace is how much longer than the requested wait a response to a pull may take.
	pullGrace = time.Second

	// deferPollInterval is the interval at which a pull loop checks whether it may start.
	deferPollInterval = 10 * time.Millisecond

	// replicationPollInterval is the interval at which awaitReplication checks whether enough members hold an item.
	replicationPollInterval = 15 * time.Millisecond

	// maxEmptyPulls is the number of consecutive pulls that may be answered immediately and without updates before the
	// loop pauses.
	maxEmptyPulls = 1
)

// discoverMembers keeps a pull loop running for each other member until ctx ends. While this controller does not reach
// a majority or knows no other member, it also asks the seed addresses for the list of members.
func (s *Server) discoverMembers(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	cancels := map[string]context.CancelFunc{} // cancel the pull loops, by address
	for ctx.Err() == nil {
		s.mu.Lock()
		members := s.replica.OtherMembers()
		seedAddresses := s.seedAddresses
		connected := s.replica.HasQuorum(s.now())
		s.mu.Unlock()
		s.updatePullLoops(ctx, &loops, cancels, members)
		interval := discoverInterval
		if !connected {
			interval = urgentDiscoverInterval
		}
		if !connected || len(members) == 0 {
			s.probeSeeds(ctx, seedAddresses)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// updatePullLoops starts the pull loops of new members and cancels those of former members.
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

// pullLoop pulls updates from a member until ctx ends. The member holds each pull until there are updates. The loop
// pauses after a failure, and when the member repeatedly responds immediately without updates.
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
			case <-pullCtx.Done(): // by pullNow, as the member is known to be up
			}
		}
		cancel()
	}
}

// deferPull reports whether the first pull from a member has to be delayed.
func (s *Server) deferPull(member message.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.DeferPull(s.now(), member)
}

// pullOnce sends one pull and passes the response to the replica. It returns the number of items received.
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

// probeSeeds asks the controllers at the given control addresses, except this one, for the list of members.
func (s *Server) probeSeeds(ctx context.Context, seedAddresses []string) {
	for _, address := range s.peerAddresses(seedAddresses) {
		if address != s.self.Addr {
			go s.probe(ctx, address)
		}
	}
}

// probe pulls once from a controller of which only the peer address is known. The response lists the members.
func (s *Server) probe(ctx context.Context, address string) {
	_, _ = s.pullOnce(ctx, message.Member{Addr: address}) // discoverMembers retries after a failure
}

// awaitReplication waits until enough members hold this replica's version of an item for it to be acknowledged. It
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

// awaitPropagation waits up to replica.RemovalReplicationWait until the other members have received a register that
// takes backends out of service, so that no proxy still sends requests to the backends when the operator gets the
// response. As the register is already durable, the operation succeeds even if the members have not received it.
func (s *Server) awaitPropagation(ctx context.Context, register string) {
	ctx, cancel := context.WithTimeout(ctx, replica.RemovalReplicationWait)
	defer cancel()
	_ = s.awaitReplication(ctx, replication.RegisterKeyPrefix+register) // a timeout does not affect the operation
}
