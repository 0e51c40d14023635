// Package membership determines which members form the control group: the configuration of each epoch, its quorums, and
// the configuration that follows it.
//
// A configuration is stored as the value of a quorum register (RegisterKey); the version of the value is the epoch. The
// members of one epoch choose the configuration of the next epoch by a round of package quorum (run by package
// replica), so that neither a log nor a leader is needed. docs/control-hardening.md shows that the quorums intersect
// across epochs.
//
// The package does no I/O: the caller passes in the state of members and candidates.
package membership

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// RegisterKey is the key of the quorum register that holds the configuration.
const RegisterKey = "members"

// Member is a controller with one particular disk. The same node with another disk is a different member, because the
// promises that it made are stored on the first disk.
type Member struct {
	Node string `json:"n"`
	Zone string `json:"z"`
	// Addr is the host:port at which its peers connect to it.
	Addr string `json:"a"`
	// DiskID is a random ID that is written to the disk on its first use.
	DiskID string `json:"d,omitempty"`
}

// SameReplica reports whether both members are the same node with the same disk. Zone and address may differ.
func (m Member) SameReplica(other Member) bool {
	return m.Node == other.Node && m.DiskID == other.DiskID
}

// Configuration is the set of members of one epoch.
//
// Invariant: len(Members) >= 2*MaxFailures+1, so that a majority survives the tolerated failures.
//
//easyjson:json
type Configuration struct {
	Epoch uint64 `json:"e"`
	// MaxFailures is how many members may lose their disks at the same time (f of package quorum).
	MaxFailures int `json:"f"`
	// Members is ordered by node name.
	Members []Member `json:"m"`
	// Previous holds the members of the previous epoch, from which this epoch takes over the registers.
	Previous []Member `json:"p,omitempty"`
	// PreviousMaxFailures is MaxFailures of the previous epoch.
	PreviousMaxFailures int `json:"q,omitempty"`
}

// NewConfiguration returns the configuration of an epoch. It reduces MaxFailures if there are too few members for it.
func NewConfiguration(epoch uint64, members []Member, maxFailures int) Configuration {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	tolerable := max(0, (len(members)-1)/2)
	return Configuration{Epoch: epoch, MaxFailures: min(maxFailures, tolerable), Members: members}
}

// Successor returns a configuration of the next epoch, which takes over the registers from this one.
func (c Configuration) Successor(members []Member, maxFailures int) Configuration {
	next := NewConfiguration(c.Epoch+1, members, maxFailures)
	next.Previous = c.Members
	next.PreviousMaxFailures = c.MaxFailures
	return next
}

// Find returns the member with the given node name.
func (c Configuration) Find(node string) (Member, bool) {
	i := slices.IndexFunc(c.Members, func(m Member) bool { return m.Node == node })
	if i < 0 {
		return Member{}, false
	}
	return c.Members[i], true
}

// Contains reports whether a replica is a member with the same disk.
func (c Configuration) Contains(m Member) bool { return slices.ContainsFunc(c.Members, m.SameReplica) }

// IsMajority reports whether the given number of members is more than half of the configuration.
func (c Configuration) IsMajority(members int) bool { return 2*members > len(c.Members) }

// TakeoverQuorum returns how many members of the previous epoch must report their registers before a member of this
// epoch may serve: one more than the number of members that may lack a chosen value.
func (c Configuration) TakeoverQuorum() int { return c.PreviousMaxFailures + 1 }

// GenerationQuorum returns how many other members must confirm the generation of a restarted member. A majority of them
// includes at least one that has recorded the member's last generation. The quorum is smaller in configurations that
// could not reach a majority with MaxFailures members unavailable; there, a member with an outdated disk may remain
// undetected.
func (c Configuration) GenerationQuorum() int {
	others := len(c.Members) - 1
	majority := others/2 + 1
	return max(0, min(majority, others-c.MaxFailures))
}

// Value encodes the configuration as the value of its register.
func (c Configuration) Value() quorum.Value {
	body, _ := easyjson.Marshal(c) // cannot fail: the fields are strings and integers
	return quorum.Value{Version: c.Epoch, Body: string(body)}
}

// ErrInvalidConfiguration is returned by ParseConfiguration if the configuration has no members, or if its epoch is not
// the version of the value.
var ErrInvalidConfiguration = errors.New("invalid membership configuration")

// ParseConfiguration decodes a configuration from the value of its register.
func ParseConfiguration(value quorum.Value) (Configuration, error) {
	configuration := Configuration{}
	if err := easyjson.Unmarshal([]byte(value.Body), &configuration); err != nil {
		return Configuration{}, errors.Wrap(err, "parse membership configuration")
	}
	if configuration.Epoch != value.Version || len(configuration.Members) == 0 {
		return Configuration{}, ErrInvalidConfiguration
	}
	return configuration, nil
}

// ReplaceWith returns the update that replaces this configuration with a successor, unless the register already holds
// a configuration of a later epoch.
func (c Configuration) ReplaceWith(next Configuration) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if current.Version > c.Epoch {
			return current
		}
		return next.Value()
	}
}
