package message

import (
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

//go:generate go tool easyjson $GOFILE

// PullRequest requests the items that the sender lacks from a controller. The pull of a proxy also renews its lease.
// The pull of a controller also contains its state as a member or candidate.
//
//easyjson:json
type PullRequest struct {
	From            Member `json:"f"`
	Role            string `json:"r"` // RoleController or RoleProxy
	ProtocolVersion int    `json:"g,omitempty"`
	// LegacyVector is the sender's progress in protocol version 1: the last sequence number received from each source.
	LegacyVector map[string]uint64 `json:"v,omitempty"`
	// Progress is the sender's version vector: the sequence number of each origin up to which the sender has all items.
	// An empty vector requests all items.
	Progress replication.Vector `json:"u,omitempty"`
	WaitMs   int64              `json:"w"` // how long the receiver may wait for items before it responds
	// ListenerAddr is the address at which clients reach the proxy; empty while they should not use it.
	ListenerAddr string `json:"c"`
	// Incarnation increases with each start of the proxy and with each change of its lease's content.
	Incarnation uint64 `json:"l"`
	Ended       bool   `json:"e,omitempty"` // the proxy gives up its lease
	MembersOnly bool   `json:"m,omitempty"` // requests only the list of members
	SurveyID    uint64 `json:"k,omitempty"` // the receiver's last in-flight survey that the proxy has answered

	// WantAuthority is set by a proxy to request that the controller verify, before it responds, that it has every
	// register that was acknowledged before the pull (AuthorityConfirmed).
	WantAuthority bool `json:"a,omitempty"`

	// The following are set by controllers only.

	KnownEpoch uint64 `json:"b,omitempty"` // the newest epoch that the sender knows
	// Ready is set if a candidate has caught up with a member; see membership.Candidate.
	Ready bool `json:"y,omitempty"`
	// PeerActiveEpoch is the epoch in which the receiver is active, according to the sender.
	PeerActiveEpoch uint64 `json:"o,omitempty"`
	Leaving         bool   `json:"x,omitempty"` // the sender's process is about to end
	// DiskGeneration is the generation of the sender's disk; 0 until the disk's identity has been stored.
	DiskGeneration uint64 `json:"h,omitempty"`

	// ResetCount is not sent. It identifies the sender's progress at the time of the request, to which the response
	// applies.
	ResetCount int `json:"-"`

	// StartedAt is the sender's time at which it made the request; it is not sent.
	StartedAt time.Time `json:"-"`
}

// ConfigurationEntry is the chosen value of the register that stores the membership configuration.
type ConfigurationEntry = quorum.Entry

// PullResponse is the response to a PullRequest. In its comments, the sender is that of the request, and the source is
// the controller that responds.
//
//easyjson:json
type PullResponse struct {
	Source          string             `json:"s"` // the responding process, as identified in protocol version 1
	ProtocolVersion int                `json:"g,omitempty"`
	LocalSequence   uint64             `json:"q"` // the source's local sequence number, for protocol version 1
	Items           []replication.Item `json:"i"`
	// Origins are the origins that Item.OriginIndex refers to. The first one is the source itself.
	Origins []string `json:"j,omitempty"`
	// Progress is the sender's progress after it has merged the items. Unless Complete is set, it has only the
	// entries that exceed those of the request.
	Progress replication.Vector `json:"u,omitempty"`
	// DroppedOrigins lists origins that a proxy can remove from its progress, as they have no items any more.
	DroppedOrigins []string  `json:"x,omitempty"`
	Complete       bool      `json:"w,omitempty"` // the items are all that the source has
	Truncated      bool      `json:"v,omitempty"` // items were omitted to limit the size; the next pull returns them
	HasQuorum      bool      `json:"o"`           // the source is a member and reaches a majority of the members
	Authority      Authority `json:"a,omitempty"`
	Proxies        int       `json:"n"` // proxies that may send requests: they hold a lease or held one recently
	ZoneProxies    int       `json:"h"` // the ones in the sender's zone
	Members        []Member  `json:"m,omitempty"`
	// KnownIncarnation is set if the proxy's Incarnation is too low for a lease. The proxy has to use a greater one
	// than this.
	KnownIncarnation uint64 `json:"l,omitempty"`
	NowMs            int64  `json:"t"` // the source's clock, in Unix milliseconds

	// The following are sent to controllers only, except SurveyID.

	DiskID      string `json:"z,omitempty"` // of the source
	ActiveEpoch uint64 `json:"y,omitempty"` // the epoch in which the source is active; 0 if it is not active
	// Configuration is the configuration in force. It is set if the sender has an older epoch.
	Configuration *ConfigurationEntry `json:"b,omitempty"`
	// SurveyID is the in-flight survey that the proxy has to answer; 0 if none is in progress.
	SurveyID uint64 `json:"k,omitempty"`
}

// OriginOf returns the origin of one of the response's items, or "" if the response doesn't list it (protocol version
// 1).
func (r *PullResponse) OriginOf(item replication.Item) string {
	if item.OriginIndex >= 0 && item.OriginIndex < len(r.Origins) {
		return r.Origins[item.OriginIndex]
	}
	return ""
}

// Authority is a source's claim to have every register that was acknowledged.
type Authority int

const (
	// AuthorityUnstated is the value in responses of versions without this field.
	AuthorityUnstated Authority = iota

	// AuthorityUnverified is sent by a controller that has not verified, since its start, that it has every register
	// that was acknowledged before.
	AuthorityUnverified

	// AuthorityFollowing is sent by a controller that once had every register and receives changes as they are chosen.
	AuthorityFollowing

	// AuthorityConfirmed is sent by a controller that has verified, after it received the pull, that it has every
	// register that was acknowledged before the pull. This response and earlier ones together contain all of them.
	AuthorityConfirmed
)

// Authoritative reports whether a proxy is authoritative after it has merged the response: it has every register that
// was acknowledged before it became authoritative, so that a register which it lacks does not exist or is newer.
// wasAuthoritative is the result for the previous response. A response from a source without a quorum has no influence.
func (r *PullResponse) Authoritative(wasAuthoritative bool) bool {
	switch {
	case !r.HasQuorum || r.Authority == AuthorityFollowing:
		return wasAuthoritative
	case r.Authority == AuthorityUnverified:
		return false
	default:
		return true
	}
}

// ExcludeFromProgress lowers the response's progress so that it doesn't cover items that were omitted from the
// response. requested is the progress of the request. Within each origin, the omitted items must come after those that
// are sent.
func (r *PullResponse) ExcludeFromProgress(omitted []replication.Item, requested replication.Vector) {
	lowest := map[string]uint64{}
	for _, item := range omitted {
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
