// Package message defines the messages that controllers and proxies exchange, in their form on the wire: the pulls
// that spread replicated items, the requests of the Paxos rounds between controllers, and the survey of requests in
// flight.
//
// The one-letter JSON names are the wire format. A field is only ever added; a receiver ignores names that it doesn't
// know. The easyjson code in messages_easyjson.go is generated from these types.
package message

import "sagelever/internal/control/membership"

// Member identifies a controller or a proxy as a sender or receiver of messages.
type Member = membership.Member

// ProtocolVersion is the version of the pull protocol that this build speaks. In version 1, whose messages carry no
// version, progress was expressed in the sequence numbers of the answering source (PullRequest.LegacyVector) instead
// of those of each item's origin.
const ProtocolVersion = 2

// Roles of the sender of a pull.
const (
	RoleController = "core" // a controller, be it a member of the configuration or a candidate
	RoleProxy      = "edge"
)

// Paths under which a controller serves the messages.
const (
	PullPath           = "/pull"       // PullRequest, PullResponse
	TallyPath          = "/tally"      // release tallies of a proxy
	PreparePath        = "/prepare"    // PeerRequest: phase 1 of a Paxos round
	AcceptPath         = "/accept"     // PeerRequest: phase 2 of a Paxos round
	ConfirmPath        = "/confirm"    // PeerRequest: phase 2 once more, without values
	ReadPath           = "/read"       // PeerRequest: the registers of an active member, for a quorum read
	StatePath          = "/state"      // PeerRequest: all registers, for a replica that takes over or catches up
	GenerationPath     = "/generation" // PeerRequest: the last known generation of the sender's disk
	ChangePath         = "/change"     // ChangeRequest, ChangeResponse
	InFlightReportPath = "/work"       // InFlightReport of a proxy
	InFlightSurveyPath = "/census"     // InFlightSurvey of a controller
)
