package explore

// Fault is a defect that is injected into an instance, to show that the exploration detects it.
type Fault int

// The faults.
const (
	NoFault Fault = iota
	NoSealing
	TooFewSealedMembers
	MergeByVersion
	NoEpochInProposals
	WipedMemberCounts
	TooFewAcceptances
	RemovedMemberCounts
	SealedReads
	OldEpochAccepted
	ReplyBeforeSync
	ActivateBeforeSync
	EarlyRetirement
	FetchFromUnsealed
	StaleFetchCounts
	ProposalReused
	LearnerCounts
	SealedRejectsConfigurations
	SkipsEpoch
	NewestEpochOnly

	// The following faults are safe variants of the design: no violation is expected.

	MergeDropsOwnState
	MergeByVersionThenProposal
)

var faultNames = map[Fault]string{
	NoFault:                     "none",
	NoSealing:                   "members that accepted a new configuration continue in the old epoch",
	TooFewSealedMembers:         "activation from f sealed members",
	MergeByVersion:              "activation merges by version",
	NoEpochInProposals:          "proposal numbers without epoch",
	WipedMemberCounts:           "a wiped member counts",
	TooFewAcceptances:           "one acceptance too few",
	RemovedMemberCounts:         "the acceptance of a removed member counts",
	SealedReads:                 "sealed members reply to reads of the old epoch",
	OldEpochAccepted:            "active members accept proposals of older epochs",
	ReplyBeforeSync:             "replies before the write to disk",
	ActivateBeforeSync:          "active before the merged state is on disk",
	EarlyRetirement:             "the old configuration is given up with one member active in the new one",
	FetchFromUnsealed:           "activation from one member that is not sealed",
	StaleFetchCounts:            "state that was fetched for one epoch counts for a later one",
	ProposalReused:              "a restarted proposer reuses its proposal number",
	LearnerCounts:               "a member of the new configuration acts before it has merged",
	SealedRejectsConfigurations: "sealed members reject rounds on the configuration too",
	SkipsEpoch:                  "a round proposes the configuration after the next",
	NewestEpochOnly:             "members become active in the newest epoch only",
	MergeDropsOwnState:          "activation drops what the member itself had accepted",
	MergeByVersionThenProposal:  "activation merges by version, equal ones by proposal number",
}

func (f Fault) String() string { return faultNames[f] }
