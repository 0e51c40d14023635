package replica

import (
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

// Config is the configuration of a replica process.
type Config struct {
	Self           message.Member    // without DiskID, which is part of the disk's Identity
	Source         string            // identifies this process in pulls of protocol version 1
	Target         membership.Target // the operator's requirements for the configuration
	InitialPeers   []string          // peer addresses of the replicas that decide on the first configuration
	Bootstrap      bool              // a replica with an empty disk takes part in the first start of the system
	RegionByZone   map[string]string
	BackendTimeout time.Duration // a backend without a heartbeat for this long has timed out
	// MaxResponseBytes limits the size of the items in a response to a pull; a single item may exceed it. 0 means the
	// default.
	MaxResponseBytes int
	Random           func() float64 // uniform in [0, 1); spreads concurrent actions of several replicas
}

// PersistedState is the state on a replica's disk when the replica starts.
type PersistedState struct {
	Entries     []quorum.Entry
	MinProposal quorum.ProposalNumber // the acceptor's least proposal number
	Identity    Identity              // zero if the disk is empty
	// LegacyDisk is set if the disk holds the state of a version without configurations.
	LegacyDisk  bool
	Generations map[string]message.DiskGeneration // DiskGenerations as last saved
	Items       []PersistedItem
	Progress    replication.Vector // the version vector that Items cover
	ProgressAt  time.Time          // when Progress was saved
}

// PersistedItem is a replicated item with its origin.
type PersistedItem struct {
	Item     replication.Item
	Origin   string // empty for items that were saved by a version with protocol version 1
	Sequence uint64 // its sequence number at the origin
}
