package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// Replica is the state machine of one controller. Each method that takes the current time is a step; what it produces
// is collected by TakeOutput.
type Replica struct {
	config    Config
	startedAt time.Time
	lastNow   time.Time // the time of the last step, to notice a clock that was set back
	output    Output
	lastID    uint64 // of requests, saves, operations and range sessions

	// Registers.
	acceptor     *quorum.Acceptor
	undecided    map[string]undecidedValue // accepted registers not known to be chosen; see repair.go
	nextRepairAt time.Time                 // before which no repair is due; zero: unknown
	verification verification

	// Operations, and what they wait for.
	operations      map[uint64]*operation
	pendingRequests map[uint64]pendingRequest
	pendingSaves    map[uint64]pendingSave
	unsavedEntries  map[string]uint64 // registers that are not on disk as they are, and the save that is to bring them there
	saveFailed      bool              // a save has failed, and not everything was saved again since
	contendedUntil  time.Time         // until when changes are handed over; see contention.go
	contentionStats ContentionStats

	// The configuration and this replica's part in it.
	local           localMembership
	leaving         bool // Leave was called
	hadQuorum       bool // HasQuorum as it was logged last
	peers           map[string]*peerState
	candidates      map[string]*candidate
	diskGenerations map[string]message.DiskGeneration // of other replicas' disks, by node
	lastEpochPullAt time.Time                         // when a replica that knows a newer epoch was last asked for it

	// Replicated items.
	items         *replication.ItemStore
	progressValid bool      // the items are as complete as the store's vector says
	lastPullAt    time.Time // of the last response to a pull, from whichever member
	fullPull      *fullPull // under way; nil for none
	resetCount    int       // how often the items were replaced by a complete response
	peerResponded bool      // since the start
	pullProgress  map[string]peerProgress
	tombstones    map[string]time.Time // items to be dropped, and when

	// Proxies and backends.
	liveness         *replication.MemberTable
	backends         map[string]*replication.Backend // the last heartbeat of the backends that send them here
	departedOwners   map[string]time.Time            // nodes that own backends and are no members, and since when
	decidingReleases map[string]bool                 // services whose release is being decided
	survey           surveyState
}

// New creates a replica from what its disk held.
func New(cfg Config, persisted PersistedState, now time.Time) *Replica {
	r := &Replica{
		config:           cfg,
		startedAt:        now,
		output:           Output{NotifyAfter: -1},
		acceptor:         quorum.NewAcceptor(persisted.Entries, persisted.MinProposal),
		undecided:        map[string]undecidedValue{},
		verification:     verification{requested: 1},
		operations:       map[uint64]*operation{},
		pendingRequests:  map[uint64]pendingRequest{},
		pendingSaves:     map[uint64]pendingSave{},
		unsavedEntries:   map[string]uint64{},
		peers:            map[string]*peerState{},
		candidates:       map[string]*candidate{},
		pullProgress:     map[string]peerProgress{},
		tombstones:       map[string]time.Time{},
		backends:         map[string]*replication.Backend{},
		departedOwners:   map[string]time.Time{},
		decidingReleases: map[string]bool{},
	}
	r.items = replication.NewItemStore(cfg.Source, newOrigin(cfg.Self.Node, now, cfg.Random()))
	r.liveness = replication.NewMemberTable(LeaseTerm, proxyRetention)
	r.loadMembership(now, persisted)
	r.restoreItems(now, persisted)
	r.restoreRegisters(now)
	r.saveIdentity(now)
	return r
}

// restoreRegisters publishes the registers that are known to be chosen and schedules the repair of the others.
func (r *Replica) restoreRegisters(now time.Time) {
	entries := r.acceptor.AcceptedEntries()
	slices.SortFunc(entries, func(a, b quorum.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, entry := range entries {
		if entry.Chosen {
			r.publishEntry(entry)
		} else {
			r.scheduleRepair(entry.Key, now.Add(confirmDelay), !isConfirmable(entry.Key))
		}
	}
}

// newOrigin names a node and its incarnation as the origin of items: "NODE.INCARNATION", both hashed or encoded to few
// characters as origins are part of every pull. Incarnations grow with the time of the start; the random low bits tell
// apart two starts within one millisecond.
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

// jitter returns a random duration between 0 and a limit.
func (r *Replica) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.config.Random() * float64(limit))
}

// Register returns a register as this replica holds it, which may be outdated; the zero entry but for its key where it
// holds nothing.
func (r *Replica) Register(key string) quorum.Entry { return r.acceptor.Get(key) }
