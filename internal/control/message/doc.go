// Package message defines the messages that controllers and proxies exchange, in their wire format: the pulls that
// replicate items, the requests of Paxos rounds between controllers, and the survey of requests in flight.
//
// The one-letter JSON names are the wire format. Fields are only ever added; receivers ignore unknown names. The
// *_easyjson.go files are generated from the types.
package message

import "sagelever/internal/control/membership"

// Member identifies a controller or a proxy as a sender or receiver of messages.
type Member = membership.Member

// ProtocolVersion is the version of the pull protocol that this build uses. Messages of version 1 have no version
// field, and express progress in the sequence numbers of the responding source (PullRequest.LegacyVector) instead of
// those of each item's origin.
const ProtocolVersion = 2

// Roles of the sender of a pull.
const (
	RoleController = "core" // a controller, either a member of the configuration or a candidate
	RoleProxy      = "edge"
)
