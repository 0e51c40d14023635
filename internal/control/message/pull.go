package message

import (
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

//go:generate go tool easyjson $GOFILE

// PullRequest asks a controller for the items that the sender lacks. The pull of a proxy also renews its lease; the
// pull of a controller tells the receiver what it has to know of the sender as a member or candidate.
//
//easyjson:json
type PullRequest struct {
	From            Member `json:"f"`
	Role            string `json:"r"` // RoleController or RoleProxy
	ProtocolVersion int    `json:"g,omitempty"`
	// LegacyVector is the sender's progress in protocol version 1: by source, the last sequence number received from
	// it.
	LegacyVector map[string]uint64 `json:"v,omitempty"`
	// Progress is the sender's version vector: by origin, the sequence number up to which it lacks nothing. Empty asks
	// for everything.
	Progress replication.Vector `json:"u,omitempty"`
	WaitMs   int64              `json:"w"` // how long the receiver may hold the request until it has items to send
	// ListenerAddr is where clients reach the proxy; empty while they should not be sent there.
	ListenerAddr string `json:"c"`
	// Incarnation grows with each start of the proxy and with each change of its lease's content.
	Incarnation uint64 `json:"l"`
	Ended       bool   `json:"e,omitempty"` // the proxy gives up its lease
	MembersOnly bool   `json:"m,omitempty"` // asks only who the members are
	SurveyID    uint64 `json:"k,omitempty"` // the receiver's last in-flight survey that the proxy has answered

	// WantAuthority asks a controller to make sure that it knows everything that was acknowledged before the pull, and to
	// respond once it does (AuthorityConfirmed). A proxy sets it.
	WantAuthority bool `json:"a,omitempty"`

	// The following are set by controllers only.

	KnownEpoch uint64 `json:"b,omitempty"` // the newest epoch that the sender knows
	// Ready says that a candidate holds everything that a member held; see membership.Candidate.
	Ready bool `json:"y,omitempty"`
	// PeerActiveEpoch is the epoch in which the receiver is active, as far as the sender knows.
	PeerActiveEpoch uint64 `json:"o,omitempty"`
	Leaving         bool   `json:"x,omitempty"` // the sender's process is about to end
	// DiskGeneration is the generation of the sender's disk; 0 while its identity is not on disk.
	DiskGeneration uint64 `json:"h,omitempty"`

	// ResetCount is not sent: it ties the response to the sender's progress at the time of the request.
	ResetCount int `json:"-"`
}

// ConfigurationEntry is the register that holds the configuration of members, as it was chosen.
type ConfigurationEntry = quorum.Entry

// PullResponse answers a PullRequest.
//
//easyjson:json
type PullResponse struct {
	Source          string             `json:"s"` // the answering process, as protocol version 1 names it
	ProtocolVersion int                `json:"g,omitempty"`
	LocalSequence   uint64             `json:"q"` // the source's local sequence number, for protocol version 1
	Items           []replication.Item `json:"i"`
	// Origins are what Item.OriginIndex refers to; the first is the source's own.
	Origins []string `json:"j,omitempty"`
	// Progress is how far the receiver has come once it has merged the items. Unless Complete, only the entries beyond
	// its request's.
	Progress replication.Vector `json:"u,omitempty"`
	// DroppedOrigins lists entries of a proxy's progress that it can forget, as no item of these origins is left.
	DroppedOrigins []string  `json:"x,omitempty"`
	Complete       bool      `json:"w,omitempty"` // the items are everything that the source holds
	Truncated      bool      `json:"v,omitempty"` // items were left out for size, to be pulled next
	HasQuorum      bool      `json:"o"`           // the source is a member and reaches a majority of the members
	Authority      Authority `json:"a,omitempty"`
	Proxies        int       `json:"n"` // proxies that may be sending: they hold a lease, or held one lately
	ZoneProxies    int       `json:"h"` // those of them in the sender's zone
	Members        []Member  `json:"m,omitempty"`
	// KnownIncarnation is set where the proxy's Incarnation is too old to be granted a lease; it has to use a greater
	// one than this.
	KnownIncarnation uint64 `json:"l,omitempty"`
	NowMs            int64  `json:"t"` // the source's clock, in Unix milliseconds

	// The following are sent to controllers only, except SurveyID.

	DiskID      string `json:"z,omitempty"` // of the source
	ActiveEpoch uint64 `json:"y,omitempty"` // the epoch in which the source is active; 0 where it is not
	// Configuration is the configuration in force, for a controller that knows an older epoch only.
	Configuration *ConfigurationEntry `json:"b,omitempty"`
	// SurveyID is an in-flight survey that the proxy is to answer; 0: none is running.
	SurveyID uint64 `json:"k,omitempty"`
}

// OriginOf returns the origin of one of the response's items, or "" where the response doesn't name it (protocol
// version 1).
func (r *PullResponse) OriginOf(item replication.Item) string {
	if item.OriginIndex >= 0 && item.OriginIndex < len(r.Origins) {
		return r.Origins[item.OriginIndex]
	}
	return ""
}

// Authority says whether the source of a response knows every register that was acknowledged.
type Authority int

const (
	// AuthorityUnstated is what versions before this field send.
	AuthorityUnstated Authority = iota

	// AuthorityUnverified is sent by a controller that has not made sure since its start that it knows everything that was
	// acknowledged before.
	AuthorityUnverified

	// AuthorityFollowing is sent by a controller that knew everything once, and learns of changes as they are chosen.
	AuthorityFollowing

	// AuthorityConfirmed is sent by a controller that has made sure, after it received the pull, that it knows everything
	// that was acknowledged before the pull. The response and those before it contain all of it.
	AuthorityConfirmed
)

// Authoritative reports whether a proxy that has merged the response knows every register that was acknowledged before
// it became authoritative, so that what it doesn't know doesn't exist or is younger. before is whether it was already.
// Without a quorum the source says nothing.
func (r *PullResponse) Authoritative(before bool) bool {
	switch {
	case !r.HasQuorum || r.Authority == AuthorityFollowing:
		return before
	case r.Authority == AuthorityUnverified:
		return false
	default:
		return true
	}
}

// ExcludeFromProgress lowers the response's progress so that it doesn't cover items which were left out of it. requested
// is the progress of the request. Within each origin, the left out items must come after those that are sent.
func (r *PullResponse) ExcludeFromProgress(leftOut []replication.Item, requested replication.Vector) {
	lowest := map[string]uint64{}
	for _, item := range leftOut {
		origin := r.OriginOf(item)
		if sequence, known := lowest[origin]; !known || item.Sequence < sequence {
			lowest[origin] = item.Sequence
		}
	}
	for origin, sequence := range lowest {
		if sequence-1 > requested[origin] || r.Complete && sequence > 1 {
			r.Progress[origin] = sequence - 1
		} else {
			delete(r.Progress, origin)
		}
	}
}
