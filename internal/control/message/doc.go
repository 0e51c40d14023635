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

// HTTP paths at which a controller receives messages.
const (
	PullPath           = "/pull"       // PullRequest, PullResponse
	TallyPath          = "/tally"      // release tallies of a proxy
	PreparePath        = "/prepare"    // PeerRequest: phase 1 of a Paxos round
	AcceptPath         = "/accept"     // PeerRequest: phase 2 of a Paxos round
	ConfirmPath        = "/confirm"    // PeerRequest: phase 2 repeated without the values
	ReadPath           = "/read"       // PeerRequest: the registers of an active member, for a quorum read
	StatePath          = "/state"      // PeerRequest: all registers, for a replica that takes over or catches up
	GenerationPath     = "/generation" // PeerRequest: queries the last known generation of the sender's disk
	ChangePath         = "/change"     // ChangeRequest, ChangeResponse
	InFlightReportPath = "/work"       // InFlightReport of a proxy
	InFlightSurveyPath = "/census"     // InFlightSurvey of a controller
)
