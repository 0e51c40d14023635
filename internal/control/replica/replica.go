// Package replica is one member of the core as a pure machine: a state, a message, the next state and messages out. It holds
// the lasting registers (items of the configuration, releases, cleared zones), who is a member and who holds a lease, and
// what is known of appliances; it keeps the rounds in which values are chosen, read, brought to an end and caught up with.
// Network, disk, clock and luck are handed in, so that a whole core is stepped in one process by a seed.
package replica

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/message"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replication"
)

const (
	LeaseTerm             = 2500 * time.Millisecond // an agent pulls again at once, and after ebb.Wait at the latest
	PeerPullWait          = 2500 * time.Millisecond // the same between members; bytes between regions are dear
	PeerTimeout           = 3500 * time.Millisecond // a member counts as heard for so long after its last answer: PeerPullWait and a second
	proxyRetention        = 30 * time.Second        // an agent that is gone counts into n for so long: longer than a request lasts
	incrementalPullWindow = 30 * time.Second        // for so long what a missing agent should have had is kept for it: half of tomb; beyond it pulls whole
	tombstoneRetention    = 60 * time.Second        // a life that has left is remembered for so long: longer than a late pulse takes

	urgentNotifyDelay  = 15 * time.Millisecond  // news is held for so long, so that what comes together goes together
	defaultNotifyDelay = 200 * time.Millisecond // the same for what is new and can wait: appliances that came, leases
	tallyNotifyDelay   = time.Second            // the same for counts of releases, which come all the time and change little

	attemptTimeout     = 800 * time.Millisecond // of one round; callers give an agent a second
	firstPullHeadStart = 150 * time.Millisecond // by which one member is asked before the others: a dial between regions and back
	stuckPullTimeout   = 250 * time.Millisecond // a pull that has gone on for so long may hang on a member that was down when it began
	minRetryDelay      = 60 * time.Millisecond  // twice what a message takes between regions, about: the least pause after a refusal
	repairDelay        = 700 * time.Millisecond // after which a value without a known end is brought to one by whoever holds it
)

// Reasons why something was not done; whoever asked may ask another member, or again.
var (
	ErrTooFewResponses = errors.New("too few members answer")
	ErrCatchingUp      = errors.New("this member is catching up")
	ErrNoQuorum        = errors.New("this agent does not hear most of the core")
	ErrNotMember       = errors.New("this agent is not a member of the core")
)

// Config is what a member is told.
type Config struct {
	Self           message.Member    // without its disk's identity, which the disk holds
	Source         string            // this member and its life, as the version before names it
	Target         membership.Target // the core that the operator asks for
	InitialPeers   []string          // where the first contacts' peers call them: they decide the first set
	Bootstrap      bool              // the whole system starts for the first time
	RegionByZone   map[string]string // zone to region
	BackendTimeout time.Duration     // after which an appliance that pulsed here counts as silent
	Random         func() float64    // from [0, 1): spreads what several members would do at one moment
}

// PersistedState is what a member's disk held.
type PersistedState struct {
	Entries     []quorum.Entry
	Floor       quorum.ProposalNumber
	Identity    Identity // the zero one where the disk is empty
	LegacyDisk  bool     // the disk was written by the version without sets of members, and is whole
	Generations map[string]message.DiskGeneration
	Items       []PersistedItem    // what was known
	Progress    replication.Vector // and how far that goes
	ProgressAt  time.Time          // when it was last so
}

// PersistedItem is an item with where it came from.
type PersistedItem struct {
	Item   replication.Item
	Origin string
	Number uint64
}

// Output is what a step has brought. Saves are to be handed to the disk in their order, before the next step; all else has no
// order.
type Output struct {
	Requests      []OutgoingRequest
	Saves         []Save
	Responses     []OutgoingResponse
	Completions   []Completion
	LogEntries    []LogEntry       // changes of state, for the log
	ForgottenKeys []string         // items that were forgotten
	PullNow       []message.Member // replicas that are up, though this one has not heard them: they are best pulled from, or asked who the members are, at once
	NotifyAfter   time.Duration    // whoever waits for news is to be woken after so long; below zero: there is none
}

// OutgoingRequest is a message to another member; its reply goes to Replied, under the number.
type OutgoingRequest struct {
	ID      uint64
	To      message.Member
	Path    string
	Request *message.PeerRequest
}

// Save is to be on the disk, whole, before Saved is told so under its number.
type Save struct {
	ID       uint64
	Entries  []quorum.Entry
	Floor    *quorum.ProposalNumber
	Identity *Identity
}

// OutgoingResponse goes to another member's call.
type OutgoingResponse struct {
	CallID   uint64
	Response *message.PeerResponse
	Err      error
}

// Completion is the end of what was begun under a number.
type Completion struct {
	OperationID uint64
	Values      map[string]quorum.Value // as chosen
	Err         error
}

// LogEntry says that a state has changed.
type LogEntry struct {
	Message string
	Fields  []string // names and values
}

// Replica is one member.
type Replica struct {
	config    Config
	acceptor  *quorum.Acceptor
	local     localMembership
	leaving   bool
	hadQuorum bool // sound, when last looked
	startedAt time.Time
	lastNow   time.Time            // when this replica was last told the time
	undecided map[string]time.Time // registers held without a known end, and when to bring them to one

	lastID          uint64
	operations      map[uint64]*operation
	pendingRequests map[uint64]pendingRequest
	pendingSaves    map[uint64]func(now time.Time, err error)
	saveFailed      bool // the disk has refused something

	items            *replication.ItemStore
	progressValid    bool      // the feed is as far as its vector says
	lastPullAt       time.Time // when anyone last told this member news
	resetCount       int       // how often what was known was given up for what another told
	heardFromPeer    bool      // in this life
	liveness         *replication.MemberTable
	peers            map[string]*peerState
	candidates       map[string]*candidate             // by node
	diskGenerations  map[string]message.DiskGeneration // by node: of other replicas' disks
	lastCallbackAt   time.Time                         // when one that knows a newer set was last called for it
	lostOwners       map[string]time.Time              // by node: since when appliances are known whose home is no member
	pullProgress     map[string]peerProgress           // how far each member has come that pulls here, by node
	tombstones       map[string]time.Time
	backends         map[string]*replication.Backend // the newest of what pulses here have said
	decidingReleases map[string]bool                 // services whose release is being decided
	survey           surveyState

	output Output
}

type peerState struct {
	message.Member
	legacySource string // as the version before numbers
	legacySeq    uint64
	lastHeard    time.Time
	origin       string    // of its life
	lastPull     time.Time // when the last pull of it began
	heardOnce    bool      // heard since this member started
	lostSince    time.Time // since when it is not heard any more; zero while it is
	memberSince  time.Time // when it became a member, as known here
	leaving      bool      // it has said that it ends
	activeEpoch  uint64    // the epoch in which it acts, as it told last
}

// New takes up what a disk held.
func New(cfg Config, persisted PersistedState, now time.Time) *Replica {
	r := &Replica{config: cfg, acceptor: quorum.NewAcceptor(persisted.Entries, persisted.Floor), startedAt: now, undecided: map[string]time.Time{},
		operations: map[uint64]*operation{}, pendingRequests: map[uint64]pendingRequest{}, pendingSaves: map[uint64]func(time.Time, error){},
		peers: map[string]*peerState{}, candidates: map[string]*candidate{}, lostOwners: map[string]time.Time{}, pullProgress: map[string]peerProgress{}, tombstones: map[string]time.Time{},
		backends: map[string]*replication.Backend{}, decidingReleases: map[string]bool{}, output: Output{NotifyAfter: -1}}
	r.items = replication.NewItemStore(cfg.Source, newOrigin(cfg.Self.Node, now, cfg.Random()))
	r.liveness = replication.NewMemberTable(LeaseTerm, proxyRetention)
	r.loadMembership(now, persisted)
	r.restoreItems(persisted, now)
	entries := r.acceptor.AcceptedEntries()
	slices.SortFunc(entries, func(first, second quorum.Entry) int { return strings.Compare(first.Key, second.Key) })
	for _, entry := range entries {
		if entry.Chosen {
			r.publishEntry(entry)
		} else {
			r.undecided[entry.Key] = now.Add(repairDelay)
		}
	}
	r.saveIdentity(now)
	return r
}

// newOrigin names a member and its life in the numbers of what it tells: short, as it goes with every pull.
func newOrigin(node string, now time.Time, random float64) string {
	hash := fnv.New64a()
	hash.Write([]byte(node))
	incarnation := uint64(now.UnixMilli())<<5 | uint64(random*32)
	return strconv.FormatUint(hash.Sum64()>>24, 36) + "." + strconv.FormatUint(incarnation, 36)
}

// TakeOutput hands over what the steps since the last call have brought.
func (r *Replica) TakeOutput() Output {
	out := r.output
	r.output = Output{NotifyAfter: -1}
	return out
}

func (r *Replica) logEvent(message string, fields ...string) {
	r.output.LogEntries = append(r.output.LogEntries, LogEntry{message, fields})
}

// save has entries brought to the disk, and then goes on. Where nothing has changed it goes on at once.
func (r *Replica) save(now time.Time, save Save, done func(now time.Time, err error)) {
	if len(save.Entries) == 0 && save.Floor == nil && save.Identity == nil {
		if done != nil {
			done(now, nil)
		}
		return
	}
	r.lastID++
	save.ID = r.lastID
	r.pendingSaves[save.ID] = done
	r.output.Saves = append(r.output.Saves, save)
}

// HandleSaved takes the disk's word on a save.
func (r *Replica) HandleSaved(now time.Time, number uint64, err error) {
	done, known := r.pendingSaves[number]
	if !known {
		return
	}
	delete(r.pendingSaves, number)
	if err != nil {
		r.saveFailed = true
	}
	if done != nil {
		done(now, err)
	}
}

// retrySave brings all to the disk again after it has refused something: what was learned meanwhile is told by nobody again.
func (r *Replica) retrySave(now time.Time) {
	if !r.saveFailed || len(r.pendingSaves) > 0 {
		return
	}
	r.saveFailed = false // a failure sets it again
	floor := r.acceptor.MinProposal()
	identity := r.local.submittedIdentity
	r.save(now, Save{Entries: r.acceptor.AcceptedEntries(), Floor: &floor, Identity: &identity}, nil)
}

// HandleRequest takes another member's message, or this one's own; the answer comes under the call's number. What it says is on the
// disk by then.
func (r *Replica) HandleRequest(now time.Time, call uint64, path string, request *message.PeerRequest) {
	r.serveRequest(now, path, request, func(_ time.Time, response *message.PeerResponse, err error) {
		r.output.Responses = append(r.output.Responses, OutgoingResponse{call, response, err})
	})
}

func (r *Replica) serveRequest(now time.Time, path string, request *message.PeerRequest, respond func(now time.Time, response *message.PeerResponse, err error)) {
	switch path {
	case message.GenerationPath:
		respond(now, r.serveGeneration(request), nil)
		return
	case message.StatePath:
		r.serveState(now, request, respond)
		return
	}
	if request.Epoch < r.local.configuration.Epoch { // it is told which set is in force
		respond(now, &message.PeerResponse{Configuration: r.local.entry()}, nil)
		return
	}
	if request.Epoch > r.local.configuration.Epoch || !r.Active() {
		respond(now, nil, ErrCatchingUp)
		return
	}
	response := &message.PeerResponse{OK: true}
	var changed []quorum.Entry
	switch path {
	case message.PreparePath, message.AcceptPath:
		if r.epochClosed() && !concernsOnlyConfiguration(request) {
			respond(now, &message.PeerResponse{}, nil)
			return
		}
		if path == message.PreparePath {
			response.Entries, changed, response.PromisedProposal = r.acceptor.Prepare(request.Proposal, request.Keys)
		} else {
			changed, response.PromisedProposal = r.acceptor.Accept(request.Proposal, request.Entries)
		}
		if response.PromisedProposal != (quorum.ProposalNumber{}) {
			response.OK, response.Entries = false, nil
			respond(now, response, nil)
			return
		}
	case message.ReadPath:
		// The next set may be in force already, and have decided what this member does not know of.
		if r.epochClosed() {
			respond(now, &message.PeerResponse{}, nil)
			return
		}
		if len(request.Keys) > 0 {
			response.Entries = r.entriesByKey(request.Keys)
		} else {
			r.serveRanges(request, response)
		}
	}
	for _, entry := range changed { // whether or not the disk takes it
		r.trackUndecided(now, entry)
	}
	r.save(now, Save{Entries: changed}, func(now time.Time, err error) {
		if err != nil { // what is not on the disk is not said
			response = nil
		}
		respond(now, response, err)
	})
}

// trackUndecided notes a register whose newest value this member holds without knowing that it is chosen.
func (r *Replica) trackUndecided(now time.Time, entry quorum.Entry) {
	if held := r.acceptor.Get(entry.Key); held.Chosen || held.Accepted == (quorum.ProposalNumber{}) {
		return
	}
	if _, noted := r.undecided[entry.Key]; !noted {
		delay := repairDelay
		if entry.Key == membership.RegisterKey { // nothing else is decided until it has an end
			delay = configurationRepairDelay
		}
		r.undecided[entry.Key] = now.Add(delay + time.Duration(r.config.Random()*float64(delay)))
	}
}

// learnEntries takes up what is known to be chosen, or was accepted elsewhere, and tells on what is chosen.
func (r *Replica) learnEntries(now time.Time, entries []quorum.Entry) []quorum.Entry {
	changed := r.acceptor.Learn(entries)
	for _, entry := range changed {
		if entry.Chosen {
			delete(r.undecided, entry.Key)
			r.publishEntry(entry)
			r.adoptConfiguration(now, entry)
		} else {
			r.trackUndecided(now, entry)
		}
	}
	return changed
}

// publishEntry tells a chosen value.
func (r *Replica) publishEntry(entry quorum.Entry) {
	r.mergeLocal(replication.Item{Key: replication.RegisterKey + entry.Key, Version: entry.Value.Version, Body: entryBody(entry)})
}

func entryBody(entry quorum.Entry) string {
	body, _ := easyjson.Marshal(quorum.Entry{Key: entry.Key, Accepted: entry.Accepted, Value: entry.Value, Chosen: true})
	return string(body)
}

// Register is a register as this member holds it.
func (r *Replica) Register(key string) quorum.Entry { return r.acceptor.Get(key) }
