package message

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

// ReplicaPaths returns the paths whose requests the replica answers: each takes a PeerRequest and returns a
// PeerResponse. The HTTP handler and the simulated network of the replica's tests both serve exactly these paths.
func ReplicaPaths() []string {
	return []string{PreparePath, AcceptPath, ConfirmPath, ReadPath, StatePath, GenerationPath}
}
