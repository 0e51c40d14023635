package replication

import "strings"

// Item is one replicated piece of data. Of two items with the same key the one with the higher version prevails, see
// Supersedes.
type Item struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	Body    string `json:"b"`
	// OriginIndex and Sequence tell in a message who published the item, and under which number: OriginIndex is an
	// index into the origins that go with the message. Both are 0 in a store, and in messages of the version before
	// this one.
	OriginIndex int    `json:"o,omitempty"`
	Sequence    uint64 `json:"q,omitempty"`
}

// Prefixes of the keys of items, one for each kind.
const (
	BackendKeyPrefix      = "app/"   // followed by the ID of a backend's incarnation; the body is a Backend
	LeaseKeyPrefix        = "lease/" // followed by node and role; the body is a Lease
	ReleaseTallyKeyPrefix = "trial/" // followed by service and reporter; the body is a ReleaseTally
	RegisterKeyPrefix     = "reg/"   // followed by the key of a register of the quorum; the body is its chosen value
)

// Supersedes reports whether an item prevails over another one with the same key.
//
// Two controllers may give a lease the same version, if its holder moves from one to the other just when it expires.
// Then a lease that is held prevails over one that has ended, and otherwise the greater body, so that all replicas
// converge.
func (it Item) Supersedes(other Item) bool {
	if it.Version != other.Version || it.Body == other.Body || !strings.HasPrefix(it.Key, LeaseKeyPrefix) {
		return it.Version > other.Version
	}
	lease, ok := ReadLease(it)
	otherLease, otherOK := ReadLease(other)
	if !ok || !otherOK || lease.Ended == otherLease.Ended {
		return it.Body > other.Body
	}
	return otherLease.Ended
}
