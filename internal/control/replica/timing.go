package replica

import "time"

// Timing that the callers of this package have to know.
const (
	// LeaseTerm is how long the lease of a proxy lasts after its last pull. A proxy pulls again at once after a
	// response, and after lease.PullWait at the latest.
	LeaseTerm = 2500 * time.Millisecond

	// PeerPullWait is how long a member's pull of another member may wait for items to be sent. It is long because
	// traffic between regions is expensive.
	PeerPullWait = 2500 * time.Millisecond

	// PeerTimeout is how long after its last response a member counts as reachable: PeerPullWait and a second.
	PeerTimeout = 3500 * time.Millisecond

	// RemovalReplicationWait is how long the acknowledgement of a removal waits for all reachable members to hold it,
	// so that all proxies stop at about the same time. It covers several trips between regions and is well below the
	// second for which callers wait.
	RemovalReplicationWait = 250 * time.Millisecond
)

// How long knowledge of others is kept.
const (
	// proxyRetention is how long a proxy whose lease has expired still counts among those that may be sending. It
	// exceeds the duration of a request.
	proxyRetention = 30 * time.Second

	// incrementalPullWindow is how long a node may be away and still be sent only what it lacks. Beyond it the node's
	// progress may cover items that have been forgotten since, so that it pulls everything. Half of
	// tombstoneRetention.
	incrementalPullWindow = 30 * time.Second

	// tombstoneRetention is how long a backend that is gone is remembered, so that a late heartbeat doesn't revive it.
	tombstoneRetention = 60 * time.Second
)

// How long new items wait for others, to be sent together.
const (
	urgentNotifyDelay  = 15 * time.Millisecond  // what proxies act on at once: registers, backends that drain or leave
	defaultNotifyDelay = 200 * time.Millisecond // what can wait: new backends, leases
	tallyNotifyDelay   = time.Second            // release tallies, which come all the time and change little
)

// Timing of pulls between controllers.
const (
	// recentResponseWindow is how long after a member's last response the next pull of it may wait for items. It exceeds the
	// pause between two pulls. Later the response itself is the news: it shows that the member is reachable.
	recentResponseWindow = time.Second

	// nearestPullPeriod is how long after its start a replica pulls only from the nearest member, so that it is sent
	// what it lacks once and not by everybody. It covers setting up a connection between regions.
	nearestPullPeriod = 150 * time.Millisecond

	// stuckPullTimeout is the age at which a pull may hang on a member that was down when the pull began.
	stuckPullTimeout = 250 * time.Millisecond

	// candidatePullWait is PeerPullWait for the pulls of a candidate. It is shorter, so that a candidate which is gone
	// is not made a member: once the next configuration is accepted, failures count against both configurations
	// together.
	candidatePullWait = time.Second

	// candidateTimeout is how long after its last pull a candidate counts as present.
	candidateTimeout = candidatePullWait + 750*time.Millisecond
)

// Timing of operations.
const (
	// attemptTimeout bounds one attempt of an operation. Callers give an operation about a second.
	attemptTimeout = 800 * time.Millisecond

	// internalWriteTimeout bounds the writes that a replica begins by itself.
	internalWriteTimeout = 4 * attemptTimeout

	// minRetryDelay is the least pause before the next attempt: about twice the delay of a message between regions.
	minRetryDelay = 60 * time.Millisecond

	// minRoundTime is the least time that a round is assumed to take in the pauses after a defeat.
	minRoundTime = 10 * time.Millisecond

	// responseTimeWeight is the weight of earlier response times against the last one.
	responseTimeWeight = 4

	// retryJitter is the random part of the pause before the next attempt.
	retryJitter = 4 * minRetryDelay

	// confirmDelay is how long a replica holds an accepted value that it doesn't know to be chosen before it asks the
	// others whether they have accepted it too; the delay is randomised up to half as much again. Normally the member
	// that has proposed it tells within a few trips between regions.
	confirmDelay = 300 * time.Millisecond

	// repairDelay is how long it takes on the whole until the first of the members that can't confirm a value finishes
	// the value's round itself; half of the delay is randomised up to twice as long.
	repairDelay = 700 * time.Millisecond

	// configurationRepairDelay is repairDelay for the configuration, until whose decision nothing else is decided.
	configurationRepairDelay = 300 * time.Millisecond
)

// Timing of the configuration.
const (
	// takeoverGrace is how long after a new configuration a member that has not taken over yet still counts as having
	// a quorum: its items are as recent as the others', and operations wait until it is active.
	takeoverGrace = 2 * time.Second

	// takeoverTimeout is how long the next change of the configuration waits for members that are reachable and have
	// not taken over yet.
	takeoverTimeout = 10 * time.Second

	// removalTimeout is how long a member is unreachable before it is removed without a successor, where the others
	// can then bear as many failures as before. It exceeds the usual length of a partition between regions.
	removalTimeout = 5 * time.Minute

	// bootstrapWait is how long the initial peers wait for all members before they decide on a first configuration
	// without those that are missing. All are normally started within a fraction of a second.
	bootstrapWait = 1500 * time.Millisecond

	// bootstrapTurnDelay is how long an initial peer leaves the first proposal to each peer that precedes it.
	bootstrapTurnDelay = 300 * time.Millisecond

	// generationInterval is how often a running replica advances the generation of its disk. An old copy of a disk is
	// detected when it is older than this and the longest time between two pulls (PeerPullWait and a second) together.
	generationInterval = 10 * time.Second
)
