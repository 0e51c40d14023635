package replication

import "strings"

// Item is a replicated key with its value. Of two items with the same key, the one with the higher version replaces the
// other (see Supersedes).
type Item struct {
	Key     string `json:"k"`
	Version uint64 `json:"v"`
	Body    string `json:"b"`
	// OriginIndex and Sequence identify, in a message, the origin that published the item and its sequence number.
	// OriginIndex is an index into the origins in the message. Both are 0 in a store, and in messages of the previous
	// protocol version.
	OriginIndex int    `json:"o,omitempty"`
	Sequence    uint64 `json:"q,omitempty"`
}

// Prefixes of the keys of items, one for each kind.
const (
	BackendKeyPrefix      = "app/"   // followed by the ID of a backend's incarnation; the body is a Backend
	LeaseKeyPrefix        = "lease/" // followed by node and role; the body is a Lease
	ReleaseTallyKeyPrefix = "trial/" // followed by service and reporter; the body is a ReleaseTally
	RegisterKeyPrefix     = "reg/"   // followed by the key of a quorum register; the body is its chosen value
)

// Supersedes reports whether an item replaces another one with the same key: the higher version wins.
//
// Two controllers may give a lease the same version if its holder moves from one to the other just when it expires. In
// this case a held lease replaces one that has ended, and otherwise the item with the greater body replaces the other,
// so that all replicas converge.
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
