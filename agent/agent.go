// Package agent is the interface between an adapter and the decision module: ids, events and actions.
// Events tell one agent what it has seen; actions are what it wants done. Nothing here decides anything.
package agent

import "time"

// Each kind of id is a type of its own.
type (
	TransactionID string
	ApplianceID   uint32
	Build         int
	Stage         int
	SendNo        int
	PeerNo        int
	TimerID       uint64
	Workload      string
	Customer      string
	Place         string
	MachineKind   string
	Key           string
	Group         int
)

// LongAgo is the start of an appliance whose start is not told.
const LongAgo = time.Duration(-1 << 62)

// Standing is what discovery knows of an appliance.
type Standing int

const (
	Up Standing = iota
	Draining
	Gone
)

// Appliance is one line of the list.
type Appliance struct {
	ID       ApplianceID
	Build    Build
	Group    Group
	Kind     MachineKind
	Place    Place
	Standing Standing
	Started  time.Duration
	Share    float64
}

// Outcome tells how a send ended.
type Outcome int

const (
	Satisfied   Outcome = iota
	Fault               // answered with an error; may have run
	Rejected            // turned away unlooked-at; never ran
	TimedOut            // no answer in time; may have run
	Unreachable         // no connection; never ran
	Cut                 // connection broke; may have run
	CalledOff           // cancelled; may have run
	NotSent             // never left the agent; never ran
	Spoilt              // answered with what cannot be read; may have run
	Unfit               // turned away as a request that cannot be used; may have run
)

// Phase is where a build on trial stands.
type Phase int

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Verdict is what a vote says.
type Verdict int

const (
	NoVote Verdict = iota
	On
	Hold
	Back
)

// ListKind tells how to read a list event.
type ListKind int

const (
	Changes ListKind = iota
	Whole
	Remembered
	Unavailable
)

// Answer is how the platform took a vote.
type Answer int

const (
	Counted Answer = iota
	Moot
	TooMany
	Erred
	Unanswered
)

// Event is anything that one agent is told.
type Event interface{}

// ListNews brings the appliances known to discovery, or what changed among them.
type ListNews struct {
	Kind    ListKind
	Version int64
	Entries []Appliance
}

// Taken hands the agent a transaction that it now owes one final answer.
type Taken struct {
	ID        TransactionID
	Workload  Workload
	Left      time.Duration // until the client gives this try up
	Cost      time.Duration // expected work, valid if CostKnown
	CostKnown bool
	Key       Key
	Repeat    bool
	Write     bool
	Customer  Customer
}

// Begun says that a streamed answer has started.
type Begun struct {
	ID        TransactionID
	Appliance ApplianceID
	Send      SendNo
	After     time.Duration
}

// Ended is the one outcome of a send.
type Ended struct {
	ID        TransactionID
	Appliance ApplianceID
	Send      SendNo
	After     time.Duration
	Closed    bool // the transaction has its final answer
	Outcome   Outcome
	Load      map[string]float64
}

// ClientLeft says that a transaction is over without an answer of the agent's.
type ClientLeft struct{ ID TransactionID }

// Due is a timer that the agent has set.
type Due struct{ Timer TimerID }

// Probed is what one probe found.
type Probed struct {
	Appliance ApplianceID
	Outcome   Outcome
	After     time.Duration
	Load      map[string]float64
}

// Heard is a message from another agent.
type Heard struct {
	From PeerNo
	Data []byte
}

// TrialNews tells where the newest build stands; the fields after Answer hold only if it is Counted.
type TrialNews struct {
	Answer Answer
	ToVote bool
	Stage  Stage
	Build  Build
	Age    time.Duration
	Cap    float64
	Phase  Phase
}

// Tally is what the platform counted in a sample of all agents' sends.
type Tally struct {
	Build    Build
	Workload Workload
	Sends    int
	Failed   int
	Mean     time.Duration
	Age      time.Duration
}

// Complaint says that a client found a satisfied answer wrong.
type Complaint struct {
	Appliance ApplianceID
	Workload  Workload
	Age       time.Duration
}

// Why is the reason for which a transaction was given up.
type Why int

const (
	Unsaid      Why = iota
	Bounded         // as many sends of its workload were out as may be
	NoAppliance     // no appliance could have it
	NoFurther       // its sends failed, and it may have no more
	MayHaveRun      // its send failed, may have run, and must not be repeated
	TimeUp          // its client's time was nearly up
	NotUsable       // appliances cannot use it
	Whys            // how many there are
)

func (w Why) String() string {
	if w < 0 || w >= Whys {
		w = Unsaid
	}
	return [Whys]string{"unsaid", "bounded", "no_appliance", "no_further_send", "may_have_run", "time_up", "unfit"}[w]
}

// Action is anything that an agent wants done.
type Action interface{}

type (
	// Send starts the next send of a transaction; a TimeOut of 0 lasts till the client gives up.
	Send struct {
		ID        TransactionID
		Appliance ApplianceID
		TimeOut   time.Duration
	}
	// CallOff stops waiting for a send.
	CallOff struct {
		ID   TransactionID
		Send SendNo
	}
	// Defer is a final answer: trying again is harmless, after Wait if that is above 0.
	Defer struct {
		ID   TransactionID
		Wait time.Duration
		Why  Why
	}
	// BreakOff is a final answer that promises nothing.
	BreakOff struct {
		ID  TransactionID
		Why Why
	}
	// Wake sets a timer.
	Wake struct {
		After time.Duration
		Timer TimerID
	}
	// Probe checks an appliance.
	Probe struct{ Appliance ApplianceID }
	// FreeLinks closes the idle connections to an appliance.
	FreeLinks struct{ Appliance ApplianceID }
	// Tell sends a message to one agent, or to all others.
	Tell struct {
		To   PeerNo
		All  bool
		Data []byte
	}
	// Subscribe asks discovery for changes, or stops them.
	Subscribe struct{ On bool }
	// Fetch asks discovery for the whole list once.
	Fetch struct{}
	// Vote casts this agent's vote.
	Vote struct {
		Build   Build
		Stage   Stage
		Verdict Verdict
	}
	// Log leaves a line for the report.
	Log struct{ Text string }
)
