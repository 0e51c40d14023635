package replica

import (
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// Config is the fixed part of a replica's input.
type Config struct {
	Self           message.Member    // without DiskID, which is part of the disk's Identity
	Source         string            // names this process in pulls of protocol version 1
	Target         membership.Target // the configuration that the operator wants
	InitialPeers   []string          // peer addresses of the replicas that decide on the first configuration
	Bootstrap      bool              // an empty disk takes part in the first start of the whole system
	RegionByZone   map[string]string
	BackendTimeout time.Duration // after its last heartbeat a backend counts as timed out
	// MaxResponseBytes bounds the items of one response to a pull, of which a single one may be longer; 0: the default.
	MaxResponseBytes int
	Random           func() float64 // uniform in [0, 1); spreads what several replicas would do at the same time
}

// PersistedState is what a replica finds on its disk at its start.
type PersistedState struct {
	Entries     []quorum.Entry
	MinProposal quorum.ProposalNumber // the acceptor's least proposal number
	Identity    Identity              // zero where the disk is empty
	// LegacyDisk: the disk was written, and has not been lost since, by a version that had no configurations.
	LegacyDisk  bool
	Generations map[string]message.DiskGeneration // last saved DiskGenerations
	Items       []PersistedItem
	Progress    replication.Vector // how far Items go
	ProgressAt  time.Time          // when Progress was saved
}

// PersistedItem is a replicated item with the place of its first publication.
type PersistedItem struct {
	Item     replication.Item
	Origin   string // empty in items that were saved by protocol version 1
	Sequence uint64 // its sequence number at the origin
}
