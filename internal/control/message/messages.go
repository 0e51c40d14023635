package message

import (
	"sagelever/internal/control/drain"
	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
	"sagelever/internal/control/replication"
)

// Member is a member of the core, or an agent that would be one, as agents tell one another.
type Member = membership.Member

// ProtocolVersion is the version of these words. The first one pulled by the source's own numbers.
const ProtocolVersion = 2

// PullRequest asks a steward for what the caller lacks. It renews the caller's lease.
//
//easyjson:json
type PullRequest struct {
	From            Member             `json:"f"`
	Role            string             `json:"r"` // Core or Edge
	ProtocolVersion int                `json:"g,omitempty"`
	LegacyVector    map[string]uint64  `json:"v,omitempty"` // how far it has come, by the source's own numbers, with the first version
	Progress        replication.Vector `json:"u,omitempty"` // how far it has come, by every source's numbers
	WaitMs          int64              `json:"w"`           // how long the answer may wait for news
	ListenerAddr    string             `json:"c"`           // where clients reach an edge agent; empty while they should not
	Incarnation     uint64             `json:"l"`           // the caller's life, and how often its lease has changed
	Ended           bool               `json:"e,omitempty"`
	MembersOnly     bool               `json:"m,omitempty"` // asks only who the members are
	SurveyID        uint64             `json:"k,omitempty"` // the last census of the source that it has answered
	KnownEpoch      uint64             `json:"b,omitempty"` // of a replica: the newest epoch that it knows
	Ready           bool               `json:"y,omitempty"` // of one that is no member: it holds all that a member held; see membership.Candidate
	PeerActiveEpoch uint64             `json:"o,omitempty"` // the epoch in which the member that is asked acts, as the caller knows
	Leaving         bool               `json:"x,omitempty"` // of a member: its process is about to end
	DiskGeneration  uint64             `json:"h,omitempty"` // of a replica: the generation of its disk
	ResetCount      int                `json:"-"`           // the caller's own: how often what it knew was given up
}

// Roles of agents.
const (
	RoleController = "core"
	RoleProxy      = "edge"
)

// PullResponse answers a pull.
//
//easyjson:json
type PullResponse struct {
	Source           string              `json:"s"`
	ProtocolVersion  int                 `json:"g,omitempty"`
	Seq              uint64              `json:"q"`
	Items            []replication.Item  `json:"i"`
	Origins          []string            `json:"j,omitempty"` // of the items
	Progress         replication.Vector  `json:"u,omitempty"` // how far one that has taken these has come, where further than it said
	DroppedOrigins   []string            `json:"x,omitempty"` // of what an edge agent said: lives of which nothing is left
	Complete         bool                `json:"w,omitempty"` // all that the source has
	HasQuorum        bool                `json:"o"`           // the source has caught up and hears more than half of the core
	Proxies          int                 `json:"n"`           // edge agents with a lease now or lately
	ZoneProxies      int                 `json:"h"`           // of these, in the caller's zone
	Members          []Member            `json:"m,omitempty"`
	KnownIncarnation uint64              `json:"l,omitempty"` // the caller's Life is behind what is known of it: it has to be later than this
	NowMs            int64               `json:"t"`           // Unix milliseconds at the source
	DiskID           string              `json:"z,omitempty"` // of the replica that tells
	ActiveEpoch      uint64              `json:"y,omitempty"` // the epoch in which the replica that tells acts
	Configuration    *ConfigurationEntry `json:"b,omitempty"` // the members in force, where a replica asks that knows of an older epoch only
	SurveyID         uint64              `json:"k,omitempty"` // of a census under way: the caller is to say what it has out
}

// InFlightReport is an edge agent's answer to a census: what it has out at appliances that leave, and what traffic it carries.
//
//easyjson:json
type InFlightReport struct {
	From          Member                        `json:"f"`
	SurveyID      uint64                        `json:"k"`
	DrainVersions map[string]uint64             `json:"d,omitempty"` // by zone: the version of the drains that it goes by
	Rows          []replication.BackendInFlight `json:"o,omitempty"`
	Loads         []drain.ServiceLoad           `json:"l,omitempty"`
}

// InFlightSurvey is what a member has heard of the agents that hold a lease from it.
//
//easyjson:json
type InFlightSurvey struct {
	Reports []InFlightReport `json:"w,omitempty"`
	Missing []string         `json:"m,omitempty"` // those that have not answered
}

// OriginOf is who told an item first; the source where the message does not say.
func (r *PullResponse) OriginOf(item replication.Item) string {
	if item.OriginIndex >= 0 && item.OriginIndex < len(r.Origins) {
		return r.Origins[item.OriginIndex]
	}
	return ""
}

// ConfigurationEntry is the register that holds the set of members, as it was chosen.
type ConfigurationEntry = quorum.Entry

// PeerRequest is a message between replicas of the core. Epoch is that of the sender's set; whoever knows a newer one refuses.
//
//easyjson:json
type PeerRequest struct {
	Epoch         uint64                `json:"e,omitempty"`
	Proposal      quorum.ProposalNumber `json:"b"`
	Keys          []string              `json:"k,omitempty"` // PreparePath; ReadPath, where registers are named
	Entries       []quorum.Entry        `json:"v,omitempty"` // AcceptPath
	Ranges        *rangesync.Request    `json:"d,omitempty"` // ReadPath, StatePath: what the asker holds, by ranges
	Configuration *ConfigurationEntry   `json:"s,omitempty"` // StatePath: the set that the asker goes by
	From          Member                `json:"f,omitzero"`  // GenerationPath
	Generation    uint64                `json:"g,omitempty"` // GenerationPath: of the asker's disk
}

// PeerResponse answers an Ask.
//
//easyjson:json
type PeerResponse struct {
	OK               bool                      `json:"o"`
	Entries          []quorum.Entry            `json:"h,omitempty"`
	Ranges           *rangesync.Response       `json:"s,omitempty"` // ReadPath, StatePath: Held goes with it
	PromisedProposal quorum.ProposalNumber     `json:"r"`
	Configuration    *ConfigurationEntry       `json:"t,omitempty"` // a newer set than the asker's is in force
	ActiveEpoch      uint64                    `json:"e,omitempty"` // StatePath: the epoch in which the replica acts, or acted last
	DiskID           string                    `json:"d,omitempty"` // GenerationPath, StatePath: of the replica that answers
	DiskGenerations  map[string]DiskGeneration `json:"x,omitempty"` // StatePath: what is known of other replicas' disks, by node
	Generation       uint64                    `json:"g,omitempty"` // GenerationPath: the last that is known of the asker's disk
}

// DiskGeneration is what others know of a replica's disk.
type DiskGeneration struct {
	DiskID string `json:"d"`
	Number uint64 `json:"n"`
}

// Kinds of asks, as the paths of calls.
const (
	PullPath           = "/pull"
	TallyPath          = "/tally"
	PreparePath        = "/prepare"
	AcceptPath         = "/accept"
	ReadPath           = "/read"
	StatePath          = "/state"      // what a replica holds, for one that takes over or learns
	GenerationPath     = "/generation" // what is known of the asker's disk
	InFlightReportPath = "/work"
	InFlightSurveyPath = "/census"
)

// Unclaim takes back what an answer claims of the items that are left over.
func (n *PullResponse) Unclaim(left []replication.Item, come replication.Vector) {
	lowest := map[string]uint64{}
	for _, it := range left {
		origin := n.OriginOf(it)
		if number, known := lowest[origin]; !known || it.Sequence < number {
			lowest[origin] = it.Sequence
		}
	}
	for origin, number := range lowest {
		if number-1 > come[origin] || n.Complete && number > 1 {
			n.Progress[origin] = number - 1
		} else {
			delete(n.Progress, origin)
		}
	}
}

// ProgressReports are a census's answers as a drain's progress is told by them.
func (s InFlightSurvey) ProgressReports() (reports []drain.ProxyReport, loads []drain.ServiceLoad) {
	for _, report := range s.Reports {
		progress := drain.ProxyReport{Proxy: report.From.Node, Zone: report.From.Zone, DrainVersions: report.DrainVersions, InFlight: map[string][2]int{}}
		for _, row := range report.Rows {
			progress.InFlight[row.BackendID] = [2]int{row.Idempotent, row.NonIdempotent}
		}
		reports = append(reports, progress)
		loads = append(loads, report.Loads...)
	}
	return reports, loads
}
