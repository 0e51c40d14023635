// Package membership decides which members form the control group: the configuration of an epoch, its quorums, and
// which configuration follows it.
//
// A configuration is itself the value of a quorum register (RegisterKey) whose version is the epoch. The next one is
// chosen by a round among the members of the epoch before (package replica), so that neither a log nor a leader is
// needed. The argument that the quorums intersect across epochs is in docs/control-hardening.md.
//
// The package is pure: the caller passes in what is known of members and candidates.
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

// Member is a controller with one particular disk. The same node with another disk is a different member, because it
// does not know what it promised while it had the first one.
type Member struct {
	Node string `json:"n"`
	Zone string `json:"z"`
	// Addr is the host:port at which its peers call it.
	Addr string `json:"a"`
	// DiskID is a random identity that was written to the disk on its first use.
	DiskID string `json:"d,omitempty"`
}

// SameReplica reports whether both are the same node with the same disk. Zone and address may differ.
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
	// Previous is the members of the epoch before, from which this one takes over the registers.
	Previous []Member `json:"p,omitempty"`
	// PreviousMaxFailures is MaxFailures of the epoch before.
	PreviousMaxFailures int `json:"q,omitempty"`
}

// NewConfiguration returns the configuration of an epoch. MaxFailures is reduced if the members are too few for it.
func NewConfiguration(epoch uint64, members []Member, maxFailures int) Configuration {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	tolerable := max(0, (len(members)-1)/2)
	return Configuration{Epoch: epoch, MaxFailures: min(maxFailures, tolerable), Members: members}
}

// Successor returns a configuration of the next epoch, which takes over from this one.
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

// Contains reports whether a replica, with its present disk, is a member.
func (c Configuration) Contains(m Member) bool { return slices.ContainsFunc(c.Members, m.SameReplica) }

// IsMajority reports whether the given number of members is more than half of the configuration.
func (c Configuration) IsMajority(members int) bool { return 2*members > len(c.Members) }

// TakeoverQuorum returns how many members of the epoch before must report their registers before a member of this epoch
// may serve: one more than the number that may lack a chosen value.
func (c Configuration) TakeoverQuorum() int { return c.PreviousMaxFailures + 1 }

// GenerationQuorum returns how many other members must confirm the generation of a restarted member, so that the
// members asked intersect those that know its last generation. It is smaller in configurations that could not reach it
// with MaxFailures members gone; there, a member with an outdated disk may go undetected.
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

// ErrInvalidConfiguration is returned by ParseConfiguration for a value without members or of another epoch.
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

// ReplaceWith returns the update that replaces this configuration with its successor, unless the register already holds
// a later one.
func (c Configuration) ReplaceWith(next Configuration) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if current.Version > c.Epoch {
			return current
		}
		return next.Value()
	}
}
