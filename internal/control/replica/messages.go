package replica

import (
	"sagelever/ebb"
	"sagelever/internal/control/quorum"
	"sagelever/lore"
)

// Member is a member of the core as agents tell one another.
type Member struct {
	Node string `json:"n"`
	Zone string `json:"z"`
	Addr string `json:"a"` // where its peers call it
}

// Wire is the version of these words. The first one pulled by the source's own numbers.
const Wire = 2

// Pull asks a steward for what the caller lacks. It renews the caller's lease.
//
//easyjson:json
type Pull struct {
	From   Member            `json:"f"`
	Role   string            `json:"r"` // Core or Edge
	Wire   int               `json:"g,omitempty"`
	Vector map[string]uint64 `json:"v,omitempty"` // how far it has come, by the source's own numbers, with the first version
	Come   lore.Vector       `json:"u,omitempty"` // how far it has come, by every source's numbers
	WaitMs int64             `json:"w"`           // how long the answer may wait for news
	Front  string            `json:"c"`           // where clients reach an edge agent; empty while they should not
	Life   uint64            `json:"l"`           // the caller's life, and how often its lease has changed
	Ended  bool              `json:"e,omitempty"`
	Meet   bool              `json:"m,omitempty"` // asks only who the members are
	Count  uint64            `json:"k,omitempty"` // the last census of the source that it has answered
	Epoch  int               `json:"-"`           // the caller's own: how often what it knew was given up
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
	Wire    int         `json:"g,omitempty"`
	Seq     uint64      `json:"q"`
	Items   []lore.Item `json:"i"`
	Origins []string    `json:"j,omitempty"` // of the items
	Come    lore.Vector `json:"u,omitempty"` // how far one that has taken these has come, where further than it said
	Drop    []string    `json:"x,omitempty"` // of what an edge agent said: lives of which nothing is left
	Whole   bool        `json:"w,omitempty"` // all that the source has
	Sound   bool        `json:"o"`           // the source has caught up and hears more than half of the core
	Agents  int         `json:"n"`           // edge agents with a lease now or lately
	Here    int         `json:"h"`           // of these, in the caller's zone
	Members []Member    `json:"m,omitempty"`
	Life    uint64      `json:"l,omitempty"` // the caller's Life is behind what is known of it: it has to be later than this
	Now     int64       `json:"t"`           // Unix milliseconds at the source
	Count   uint64      `json:"k,omitempty"` // of a census under way: the caller is to say what it has out
}

// Work is an edge agent's answer to a census: what it has out at appliances that leave, and what traffic it carries.
//
//easyjson:json
type Work struct {
	From   Member            `json:"f"`
	Count  uint64            `json:"k"`
	Drains map[string]uint64 `json:"d,omitempty"` // by zone: the version of the drains that it goes by
	Rows   []lore.Row        `json:"o,omitempty"`
	Loads  []ebb.Load        `json:"l,omitempty"`
}

// Census is what a member has heard of the agents that hold a lease from it.
//
//easyjson:json
type Census struct {
	Works   []Work   `json:"w,omitempty"`
	Missing []string `json:"m,omitempty"` // those that have not answered
}

// Origin is who told an item first; the source where the message does not say.
func (n *News) Origin(it lore.Item) string {
	if it.From >= 0 && it.From < len(n.Origins) {
		return n.Origins[it.From]
	}
	return ""
}

// Ask is a message of a round: a promise is asked where Values is empty.
//
//easyjson:json
type Ask struct {
	Ballot quorum.Ballot  `json:"b"`
	Keys   []string       `json:"k,omitempty"`
	Values []quorum.Entry `json:"v,omitempty"`
	Digest uint64         `json:"d,omitempty"`
}

// Reply answers an Ask.
//
//easyjson:json
type Reply struct {
	OK      bool           `json:"o"`
	Same    bool           `json:"s,omitempty"` // the digest is the same
	Held    []quorum.Entry `json:"h,omitempty"`
	Refused quorum.Ballot  `json:"r"`
}

// Kinds of asks, as the paths of calls.
const (
	PullPath    = "/pull"
	TallyPath   = "/tally"
	PreparePath = "/prepare"
	AcceptPath  = "/accept"
	ReadPath    = "/read"
	RefusePath  = "/refuse"
	WorkPath    = "/work"
	CensusPath  = "/census"
)
