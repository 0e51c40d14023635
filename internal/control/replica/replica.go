package replica

import (
	"hash/fnv"
	"strconv"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// Replica is the state machine of one controller. Each method that takes the current time is a step. TakeOutput returns
// the output of the steps.
type Replica struct {
	config     Config
	startedAt  time.Time
	lastStepAt time.Time // the time of the last step; detects a clock that was set back
	output     Output
	lastID     uint64 // the last ID given to a request, save, operation, proposal or range session

	// Registers.
	acceptor     *quorum.Acceptor
	undecided    map[string]undecidedValue // accepted registers not known to be chosen; see repair.go
	nextRepairAt time.Time                 // no repair is due earlier; zero if none is scheduled
	verification verification

	// Operations, and the requests and saves that they wait for.
	operations      map[uint64]*operation
	pendingRequests map[uint64]pendingRequest
	pendingSaves    map[uint64]pendingSave
	unsavedEntries  map[string]uint64 // IDs of the saves of registers whose current state is not on disk yet, by key
	saveFailed      bool              // a save has failed, and its contents have not been handed to the disk again
	contendedUntil  time.Time         // changes are handed over until then; see contention.go
	contentionStats ContentionStats

	// The configuration and this replica's membership.
	local           localMembership
	leaving         bool // Leave was called
	hadQuorum       bool // HasQuorum as last logged
	peers           map[string]*peerState
	candidates      map[string]*candidate
	diskGenerations map[string]message.DiskGeneration // generations of other replicas' disks, by node
	lastEpochPullAt time.Time                         // when a newer epoch last caused an entry in Output.PullNow

	// Replicated items.
	items         *replication.ItemStore
	progressValid bool                    // the store holds all items that its version vector covers
	lastPullAt    time.Time               // when the last response to a pull arrived, from any member
	partialPulls  map[string]*partialPull // answers of which some parts have arrived, by the node of the source
	// unrestoredVersions are the versions of the items that were on disk and could not be restored, by key.
	unrestoredVersions map[string]uint64

	resetCount    int  // the number of times that the items were replaced by those of a complete answer
	peerResponded bool // since the start
	pullProgress  map[string]peerProgress
	tombstones    map[string]time.Time // when to drop obsolete items, by key

	// Proxies and backends.
	liveness       *replication.LivenessTable
	backends       map[string]*replication.Backend // by ID, as of their last heartbeats, which they send to this replica
	departedOwners map[string]time.Time            // owners of backends that are not members, and since when
	restarted      bool                            // an earlier process of this node may have been a replica
	leaseVersions  map[string]uint64               // by key: the versions of leases that this process gave in fresh incarnations
	// firstIncarnations are those in which proxies first pulled from this process, by the keys of their leases.
	firstIncarnations map[string]uint64
	decidingReleases  map[string]bool // services for which the end of a release is being written
	survey            surveyState
}

// New creates a replica from its persisted state.
func New(cfg Config, persisted PersistedState, now time.Time) *Replica {
	r := &Replica{
		config:             cfg,
		startedAt:          now,
		output:             Output{NotifyAfter: -1},
		acceptor:           quorum.NewAcceptor(persisted.Entries, persisted.MinProposal),
		undecided:          map[string]undecidedValue{},
		verification:       verification{requested: 1},
		operations:         map[uint64]*operation{},
		pendingRequests:    map[uint64]pendingRequest{},
		pendingSaves:       map[uint64]pendingSave{},
		unsavedEntries:     map[string]uint64{},
		peers:              map[string]*peerState{},
		candidates:         map[string]*candidate{},
		partialPulls:       map[string]*partialPull{},
		unrestoredVersions: map[string]uint64{},
		pullProgress:       map[string]peerProgress{},
		tombstones:         map[string]time.Time{},
		backends:           map[string]*replication.Backend{},
		departedOwners:     map[string]time.Time{},
		restarted:          !cfg.Bootstrap || persisted.Identity.DiskID != "", // an empty disk may replace a lost one
		leaseVersions:      map[string]uint64{},
		firstIncarnations:  map[string]uint64{},
		decidingReleases:   map[string]bool{},
	}
	r.items = replication.NewItemStore(cfg.Source, newOrigin(cfg.Self.Node, now, cfg.Random()))
	r.liveness = replication.NewLivenessTable(LeaseTerm, proxyRetention)
	r.loadMembership(now, persisted)
	r.restoreItems(now, persisted)
	r.restoreRegisters(now)
	r.saveIdentity(now)
	return r
}

// restoreRegisters publishes the registers whose values are known to be chosen and schedules the repair of the others.
func (r *Replica) restoreRegisters(now time.Time) {
	for _, entry := range r.acceptor.AcceptedEntries() {
		if entry.Chosen {
			r.publishEntry(entry)
		} else {
			r.scheduleRepair(entry.Key, now.Add(confirmDelay), !isConfirmable(entry.Key))
		}
	}
}

// newOrigin returns the origin under which a node in its current incarnation publishes items: "NODE.INCARNATION". The
// node is hashed and the incarnation encoded to few characters because every pull contains origins. Incarnations grow
// with the start time; the random low bits distinguish two starts within one millisecond.
func newOrigin(node string, now time.Time, random float64) string {
	const (
		nodeHashBits = 40
		randomBits   = 5
		base         = 36
	)
	hash := fnv.New64a()
	hash.Write([]byte(node))
	incarnation := uint64(now.UnixMilli())<<randomBits | uint64(random*(1<<randomBits))
	return strconv.FormatUint(hash.Sum64()>>(64-nodeHashBits), base) + "." + strconv.FormatUint(incarnation, base)
}

// jitter returns a random duration in [0, limit).
func (r *Replica) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.config.Random() * float64(limit))
}

// Register returns this replica's copy of a register, which may be outdated. If the replica holds none, all fields
// except the key are zero.
func (r *Replica) Register(key string) quorum.Entry { return r.acceptor.Get(key) }
