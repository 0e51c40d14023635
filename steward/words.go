package steward

import (
	"sagelever/lore"
	"sagelever/pact"
)

// Member is a member of the core as agents tell one another.
type Member struct {
	Node string `json:"n"`
	Zone string `json:"z"`
	Addr string `json:"a"` // where its peers call it
}

// Pull asks a steward for what is new since the number that the caller has seen of it. It renews the caller's lease.
//
//easyjson:json
type Pull struct {
	From   Member            `json:"f"`
	Role   string            `json:"r"` // Core or Edge
	Vector map[string]uint64 `json:"v"` // by source
	WaitMs int64             `json:"w"` // how long the answer may wait for news
	Front  string            `json:"c"` // where clients reach an edge agent; empty while they should not
	Life   uint64            `json:"l"` // the caller's life, and how often its lease has changed
	Ended  bool              `json:"e,omitempty"`
	Meet   bool              `json:"m,omitempty"` // asks only who the members are
}

// Roles of agents.
const (
	Core = "core"
	Edge = "edge"
)

// News answers a pull.
//
//easyjson:json
type News struct {
	Source  string      `json:"s"`
	Seq     uint64      `json:"q"`
	Items   []lore.Item `json:"i"`
	Whole   bool        `json:"w,omitempty"` // all that the source has
	Sound   bool        `json:"o"`           // the source has caught up and hears more than half of the core
	Agents  int         `json:"n"`           // edge agents with a lease now or lately
	Here    int         `json:"h"`           // of these, in the caller's zone
	Members []Member    `json:"m,omitempty"`
	Life    uint64      `json:"l,omitempty"` // the caller's Life is behind what is known of it: it has to be later than this
	Now     int64       `json:"t"`           // Unix milliseconds at the source
}

// Ask is a message of a round: a promise is asked where Values is empty.
//
//easyjson:json
type Ask struct {
	Ballot pact.Ballot  `json:"b"`
	Keys   []string     `json:"k,omitempty"`
	Values []pact.Entry `json:"v,omitempty"`
	Digest uint64       `json:"d,omitempty"`
}

// Reply answers an Ask.
//
//easyjson:json
type Reply struct {
	OK      bool         `json:"o"`
	Same    bool         `json:"s,omitempty"` // the digest is the same
	Held    []pact.Entry `json:"h,omitempty"`
	Refused pact.Ballot  `json:"r"`
}
