package message

import (
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

//go:generate go tool easyjson $GOFILE

// PeerRequest is a request of one controller to another. Which fields it uses depends on the path under which it is
// sent.
//
//easyjson:json
type PeerRequest struct {
	// Epoch is that of the sender's configuration. Whoever knows a newer one refuses.
	Epoch uint64 `json:"e,omitempty"`
	// Proposal is the number of the Paxos round (PreparePath, AcceptPath, ConfirmPath).
	Proposal quorum.ProposalNumber `json:"b"`
	// Keys are the registers of a round (PreparePath, ConfirmPath), or those that are read by name (ReadPath).
	Keys []string `json:"k,omitempty"`
	// Entries are the values to accept (AcceptPath).
	Entries []quorum.Entry `json:"v,omitempty"`
	// Ranges describes what the sender holds, as range summaries (ReadPath, StatePath).
	Ranges *rangesync.Request `json:"d,omitempty"`
	// Configuration is the sender's configuration (StatePath).
	Configuration *ConfigurationEntry `json:"s,omitempty"`
	// From is the sender, and Generation that of its disk (GenerationPath).
	From       Member `json:"f,omitzero"`
	Generation uint64 `json:"g,omitempty"`
}

// PeerResponse answers a PeerRequest.
//
//easyjson:json
type PeerResponse struct {
	OK bool `json:"o"`
	// Entries are what was accepted on the registers (PreparePath), or what the sender lacks (ReadPath, StatePath).
	Entries []quorum.Entry `json:"h,omitempty"`
	// Unconfirmed are the positions of the request's keys that the responder has not accepted under its proposal
	// (ConfirmPath).
	Unconfirmed []int `json:"u,omitempty"`
	// Ranges is the result of the comparison that Entries belong to (ReadPath, StatePath).
	Ranges *rangesync.Response `json:"s,omitempty"`
	// PromisedProposal is the higher proposal because of which a prepare or accept was rejected.
	PromisedProposal quorum.ProposalNumber `json:"r"`
	// Configuration is set where a newer configuration than the sender's is in force.
	Configuration *ConfigurationEntry `json:"t,omitempty"`
	// ActiveEpoch is the epoch in which the responder is, or was last, active (StatePath).
	ActiveEpoch uint64 `json:"e,omitempty"`
	// DiskID identifies the responder's disk (StatePath, GenerationPath).
	DiskID string `json:"d,omitempty"`
	// DiskGenerations is what the responder knows of other controllers' disks, by node (StatePath).
	DiskGenerations map[string]DiskGeneration `json:"x,omitempty"`
	// Generation is the last known generation of the sender's disk (GenerationPath).
	Generation uint64 `json:"g,omitempty"`
}

// DiskGeneration is what a controller knows of another controller's disk. The generation of a disk only grows, so that
// a disk which was restored from an old copy is recognised by its lower number.
type DiskGeneration struct {
	DiskID string `json:"d"`
	Number uint64 `json:"n"`
}
