package message

import (
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

//go:generate go tool easyjson $GOFILE

// PeerRequest is a request from one controller to another. The path to which it is sent determines which fields are
// set.
//
//easyjson:json
type PeerRequest struct {
	// Epoch is the epoch of the sender's configuration. A receiver with a newer epoch rejects the request.
	Epoch uint64 `json:"e,omitempty"`
	// Proposal is the number of the Paxos round (PreparePath, AcceptPath, ConfirmPath).
	Proposal quorum.ProposalNumber `json:"b"`
	// Keys are the registers of a round (PreparePath, ConfirmPath), or those to read (ReadPath).
	Keys []string `json:"k,omitempty"`
	// Entries are the values to accept (AcceptPath).
	Entries []quorum.Entry `json:"v,omitempty"`
	// Ranges summarizes the entries that the sender has (ReadPath, StatePath).
	Ranges *rangesync.Request `json:"d,omitempty"`
	// Configuration is the sender's configuration (StatePath).
	Configuration *ConfigurationEntry `json:"s,omitempty"`
	// From is the sender, and Generation that of its disk (GenerationPath).
	From       Member `json:"f,omitzero"`
	Generation uint64 `json:"g,omitempty"`
}

// PeerResponse is the response to a PeerRequest. In its comments, the sender is that of the request, and the responder
// is the controller that responds.
//
//easyjson:json
type PeerResponse struct {
	OK bool `json:"o"`
	// Entries are the accepted values of the registers (PreparePath), the entries that the sender lacks (ReadPath,
	// StatePath), or the chosen values of registers that the responder does not confirm (ConfirmPath).
	Entries []quorum.Entry `json:"h,omitempty"`
	// Unconfirmed are the indexes of those keys of the request for which the responder has not accepted the request's
	// proposal (ConfirmPath).
	Unconfirmed []int `json:"u,omitempty"`
	// Ranges is the result of comparing the request's ranges, to which Entries belong (ReadPath, StatePath).
	Ranges *rangesync.Response `json:"s,omitempty"`
	// PromisedProposal is the higher proposal that caused the rejection of a prepare or accept.
	PromisedProposal quorum.ProposalNumber `json:"r"`
	// Configuration is set if the responder has a newer configuration than the sender.
	Configuration *ConfigurationEntry `json:"t,omitempty"`
	// ActiveEpoch is the epoch in which the responder is, or was last, active (StatePath).
	ActiveEpoch uint64 `json:"e,omitempty"`
	// DiskID identifies the responder's disk (StatePath, GenerationPath).
	DiskID string `json:"d,omitempty"`
	// DiskGenerations are the generations of other controllers' disks that the responder has recorded, by node
	// (StatePath).
	DiskGenerations map[string]DiskGeneration `json:"x,omitempty"`
	// Generation is the last known generation of the sender's disk (GenerationPath).
	Generation uint64 `json:"g,omitempty"`
}

// DiskGeneration is the last known generation of another controller's disk. The generation of a disk never decreases,
// so a disk that was restored from an old copy is recognized by its lower number.
type DiskGeneration struct {
	DiskID string `json:"d"`
	Number uint64 `json:"n"`
}
