package replica

import (
	"sagelever/ebb"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
	"sagelever/lore"
)

// Member is a member of the core, or an agent that would be one, as agents tell one another.
type Member = membership.Member

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
	Set    uint64            `json:"b,omitempty"` // of a replica: the newest epoch that it knows
	Ready  bool              `json:"y,omitempty"` // of one that is no member: it holds all that a member held; see membership.Candidate
	Acting uint64            `json:"o,omitempty"` // the epoch in which the member that is asked acts, as the caller knows
	Ending bool              `json:"x,omitempty"` // of a member: its process is about to end
	Disk   uint64            `json:"h,omitempty"` // of a replica: the generation of its disk
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
	Disk    string      `json:"z,omitempty"` // of the replica that tells
	Acting  uint64      `json:"y,omitempty"` // the epoch in which the replica that tells acts
	Set     *SetEntry   `json:"b,omitempty"` // the members in force, where a replica asks that knows of an older epoch only
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

// SetEntry is the register that holds the set of members, as it was chosen.
type SetEntry = quorum.Entry

// Ask is a message between replicas of the core. Epoch is that of the sender's set; whoever knows a newer one refuses.
//
//easyjson:json
type Ask struct {
	Epoch      uint64             `json:"e,omitempty"`
	Ballot     quorum.Ballot      `json:"b"`
	Keys       []string           `json:"k,omitempty"` // PreparePath; ReadPath, where registers are named
	Values     []quorum.Entry     `json:"v,omitempty"` // AcceptPath
	Ranges     *rangesync.Request `json:"d,omitempty"` // ReadPath, StatePath: what the asker holds, by ranges
	Set        *SetEntry          `json:"s,omitempty"` // StatePath: the set that the asker goes by
	From       Member             `json:"f,omitzero"`  // GenerationPath
	Generation uint64             `json:"g,omitempty"` // GenerationPath: of the asker's disk
}

// Reply answers an Ask.
//
//easyjson:json
type Reply struct {
	OK         bool                  `json:"o"`
	Held       []quorum.Entry        `json:"h,omitempty"`
	Ranges     *rangesync.Answer     `json:"s,omitempty"` // ReadPath, StatePath: Held goes with it
	Refused    quorum.Ballot         `json:"r"`
	Set        *SetEntry             `json:"t,omitempty"` // a newer set than the asker's is in force
	Acting     uint64                `json:"e,omitempty"` // StatePath: the epoch in which the replica acts, or acted last
	Disk       string                `json:"d,omitempty"` // GenerationPath, StatePath: of the replica that answers
	Others     map[string]Generation `json:"x,omitempty"` // StatePath: what is known of other replicas' disks, by node
	Generation uint64                `json:"g,omitempty"` // GenerationPath: the last that is known of the asker's disk
}

// Generation is what others know of a replica's disk.
type Generation struct {
	Disk   string `json:"d"`
	Number uint64 `json:"n"`
}

// Kinds of asks, as the paths of calls.
const (
	PullPath       = "/pull"
	TallyPath      = "/tally"
	PreparePath    = "/prepare"
	AcceptPath     = "/accept"
	ReadPath       = "/read"
	StatePath      = "/state"      // what a replica holds, for one that takes over or learns
	GenerationPath = "/generation" // what is known of the asker's disk
	WorkPath       = "/work"
	CensusPath     = "/census"
)

// Unclaim takes back what an answer claims of the items that are left over.
func (n *News) Unclaim(left []lore.Item, come lore.Vector) {
	lowest := map[string]uint64{}
	for _, it := range left {
		origin := n.Origin(it)
		if number, known := lowest[origin]; !known || it.Seq < number {
			lowest[origin] = it.Seq
		}
	}
	for origin, number := range lowest {
		if number-1 > come[origin] || n.Whole && number > 1 {
			n.Come[origin] = number - 1
		} else {
			delete(n.Come, origin)
		}
	}
}

// Reports are a census's answers as a drain's progress is told by them.
func (c Census) Reports() (out []ebb.Report, loads []ebb.Load) {
	for _, w := range c.Works {
		r := ebb.Report{Node: w.From.Node, Zone: w.From.Zone, Knows: w.Drains, Out: map[string][2]int{}}
		for _, row := range w.Rows {
			r.Out[row.ID] = [2]int{row.Harmless, row.Risky}
		}
		out = append(out, r)
		loads = append(loads, w.Loads...)
	}
	return out, loads
}
