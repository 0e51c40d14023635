package replica

import "time"

// Timing that callers of this package depend on.
const (
	// LeaseTerm is how long the lease of a proxy lasts after its last pull. A proxy pulls again immediately after each
	// response, which it receives after lease.PullWait at the latest.
	LeaseTerm = 2500 * time.Millisecond

	// PeerPullWait is how long a member's pull from another member may wait for new items. It is long because traffic
	// between regions is expensive.
	PeerPullWait = 1250 * time.Millisecond

	// PeerTimeout is how long after the start of the last pull that it answered a member counts as reachable: twice
	// PeerPullWait, as the next pull may wait for as long, plus one second.
	PeerTimeout = 3500 * time.Millisecond

	// RemovalReplicationWait is how long the acknowledgement of a removal waits for all reachable members to hold it,
	// so that all proxies stop sending at about the same time. It covers several trips between regions and is well
	// below the one second for which callers wait.
	RemovalReplicationWait = 250 * time.Millisecond
)

// Retention of the state of other nodes.
const (
	// proxyRetention is how long a proxy whose lease has expired is still assumed to have requests in flight. It
	// exceeds the duration of a request.
	proxyRetention = 30 * time.Second

	// incrementalPullWindow is the longest disconnection after which a node may pull incrementally. After a longer one,
	// items that the node's progress covers may have been dropped, so the node pulls all items. Half of
	// tombstoneRetention.
	incrementalPullWindow = 30 * time.Second

	// tombstoneRetention is how long the item of a backend that is gone is kept, so that a late heartbeat doesn't
	// restore the backend.
	tombstoneRetention = 60 * time.Second
)

// Delays of new items, so that several are sent together.
const (
	urgentNotifyDelay  = 15 * time.Millisecond  // for items that need fast reactions: registers, draining or left backends
	defaultNotifyDelay = 200 * time.Millisecond // for other items, such as new backends and leases
	tallyNotifyDelay   = time.Second            // for release tallies without a vote, which are frequent and change little
)

// Timing of pulls between controllers.
const (
	// recentResponseWindow is how long after a member's last response the next pull from it may wait for new items. It
	// exceeds the pause between two pulls. A later pull is answered immediately, to show that the member is reachable.
	recentResponseWindow = time.Second

	// nearestPullPeriod is how long after its start a replica pulls only from the nearest member, so that the missing
	// items are sent only once. It covers the setup of a connection between regions.
	nearestPullPeriod = 150 * time.Millisecond

	// stuckPullTimeout is the age from which a pull may be stuck because the member was down when the pull began.
	stuckPullTimeout = 250 * time.Millisecond

	// candidatePullWait is the PeerPullWait of a candidate's pulls. It is shorter, so that a failed candidate is not
	// made a member: once the next configuration is accepted, failures count against both configurations together.
	candidatePullWait = time.Second

	// candidateTimeout is how long after its last pull a candidate counts as live.
	candidateTimeout = candidatePullWait + 750*time.Millisecond
)

// Timing of operations.
const (
	// attemptTimeout limits one attempt of an operation. Callers allow about one second for an operation.
	attemptTimeout = 800 * time.Millisecond

	// internalWriteTimeout limits the duration of writes that a replica initiates itself.
	internalWriteTimeout = 4 * attemptTimeout

	// minRetryDelay is the minimum pause before the next attempt: about twice the delay of a message between regions.
	minRetryDelay = 60 * time.Millisecond

	// minRoundTime is the minimum round duration that is assumed for the pauses after a defeat.
	minRoundTime = 10 * time.Millisecond

	// responseTimeWeight is the divisor of the exponential smoothing of response times: a new sample has the weight
	// 1/responseTimeWeight.
	responseTimeWeight = 4

	// retryJitter is the maximum random part of the pause before the next attempt.
	retryJitter = 4 * minRetryDelay

	// confirmDelay is how long after a replica has accepted a value it waits for the decision before it asks the other
	// members whether they have accepted the value too. A random part of up to half the delay is added. Normally the
	// proposer announces the decision within a few trips between regions.
	confirmDelay = 300 * time.Millisecond

	// repairDelay is the approximate time from the acceptance of a value until the first of the members that can't
	// confirm it has finished the value's round itself. The pause before that round is half of repairDelay, plus a
	// random part of up to the same length.
	repairDelay = 700 * time.Millisecond

	// configurationRepairDelay is the repair delay of the configuration, randomised up to twice as long. It is shorter
	// because no other register can be decided until the configuration is.
	configurationRepairDelay = 300 * time.Millisecond
)

// Timing of the configuration.
const (
	// takeoverGrace is how long after a new configuration a member that has not taken over yet still counts as having a
	// quorum: its items are as recent as those of the others, and operations wait until it is active.
	takeoverGrace = 2 * time.Second

	// takeoverTimeout is how long the next change of the configuration waits for reachable members that have not taken
	// over yet.
	takeoverTimeout = 10 * time.Second

	// removalTimeout is how long a member must be unreachable before it is removed without a replacement, provided that
	// the remaining members tolerate as many failures as before. It exceeds the usual length of a partition between
	// regions.
	removalTimeout = 5 * time.Minute

	// bootstrapWait is how long the initial peers wait for all members before they propose a first configuration
	// without the missing ones. Normally all are started within a fraction of a second.
	bootstrapWait = 1500 * time.Millisecond

	// bootstrapTurnDelay is how long an initial peer waits for each preceding peer to make the first proposal.
	bootstrapTurnDelay = 300 * time.Millisecond

	// generationInterval is how often a running replica advances the generation of its disk. An old copy of a disk is
	// detected if its age exceeds the sum of this interval and the longest time between two pulls (PeerPullWait plus
	// one second).
	generationInterval = 10 * time.Second
)
