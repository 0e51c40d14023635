// Package membership holds the decisions on the members of the control core: which set of members an epoch has, what its
// quorums are, and which set comes next. It is pure: what is heard of the members and of the candidates is handed in.
//
// A set is itself the value of a quorum register, Key, whose version is the epoch. It is decided by a round among the
// members of the epoch before (package replica), so that no log and no leader is needed. The argument for the quorums is
// in docs/control-hardening.md.
package membership

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

// RegisterKey is the quorum register that holds the set of members.
const RegisterKey = "members"

// Member is one replica of the core on one disk. The same node with another disk is another member: what the first had
// promised the second does not know.
type Member struct {
	Node   string `json:"n"`
	Zone   string `json:"z"`
	Addr   string `json:"a"`           // host:port where its peers call it
	DiskID string `json:"d,omitempty"` // identity of its disk, drawn when the disk was first used
}

// SameReplica tells whether two members are the same replica on the same disk.
func (m Member) SameReplica(other Member) bool {
	return m.Node == other.Node && m.DiskID == other.DiskID
}

// Configuration is the members of one epoch.
//
//easyjson:json
type Configuration struct {
	Epoch               uint64   `json:"e"`
	MaxFailures         int      `json:"f"`           // members whose disks may be lost at once
	Members             []Member `json:"m"`           // in the order of their nodes
	Previous            []Member `json:"p,omitempty"` // members of the epoch before, from whom this one takes over
	PreviousMaxFailures int      `json:"q,omitempty"` // Lose of the epoch before
}

// NewConfiguration is the set of an epoch in which as many disks may be lost at once as asked for, but no more than leave a majority.
func NewConfiguration(epoch uint64, members []Member, maxFailures int) Configuration {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return Configuration{Epoch: epoch, MaxFailures: min(maxFailures, max(0, (len(members)-1)/2)), Members: members}
}

// Successor is the set that follows this one.
func (s Configuration) Successor(members []Member, maxFailures int) Configuration {
	next := NewConfiguration(s.Epoch+1, members, maxFailures)
	next.Previous = s.Members
	next.PreviousMaxFailures = s.MaxFailures
	return next
}

// Find is the member of that name.
func (s Configuration) Find(node string) (Member, bool) {
	i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Node == node })
	if i < 0 {
		return Member{}, false
	}
	return s.Members[i], true
}

// Contains tells whether a replica is a member with its present disk.
func (s Configuration) Contains(m Member) bool { return slices.ContainsFunc(s.Members, m.SameReplica) }

// IsMajority tells whether so many members are more than half of the set.
func (s Configuration) IsMajority(members int) bool { return 2*members > len(s.Members) }

// TakeoverQuorum is how many members of the epoch before have to tell what they hold, at least: one more than can lack a value
// that was chosen.
func (s Configuration) TakeoverQuorum() int { return s.PreviousMaxFailures + 1 }

// GenerationQuorum is how many others have to confirm a restarted member's generation, so that the others who know of its last one
// and those who are asked have one in common; fewer in sets too small to spare Lose members, where an old disk may go
// unnoticed.
func (s Configuration) GenerationQuorum() int {
	others := len(s.Members) - 1
	return max(0, min(others/2+1, others-s.MaxFailures))
}

// Value is the set as the value of its register.
func (s Configuration) Value() quorum.Value {
	body, _ := easyjson.Marshal(s) // texts and whole numbers only: it cannot fail
	return quorum.Value{Version: s.Epoch, Body: string(body)}
}

// ErrInvalidConfiguration says that a value of the register holds no set.
var ErrInvalidConfiguration = errors.New("the value is no set of members")

// ParseConfiguration reads a set from the value of its register.
func ParseConfiguration(value quorum.Value) (Configuration, error) {
	configuration := Configuration{}
	if err := easyjson.Unmarshal([]byte(value.Body), &configuration); err != nil {
		return Configuration{}, errors.Wrap(err, "set of members")
	}
	if configuration.Epoch != value.Version || len(configuration.Members) == 0 {
		return Configuration{}, ErrInvalidConfiguration
	}
	return configuration, nil
}

// ReplaceWith makes the next set the value of the register, unless another came before it.
func (s Configuration) ReplaceWith(next Configuration) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		if current.Version > s.Epoch {
			return current
		}
		return next.Value()
	}
}
