package verdict

// Phase is how far one send of a request to an appliance has come.
type Phase uint8

const (
	Queued      Phase = iota // it has no appliance yet
	Dialing                  // its connection is coming up
	Connected                // it has a connection, new or kept, and nothing is written
	HeadWriting              // part of its head is written
	BodyWriting              // its head is written, its body in part
	Written                  // it is written whole
	HeadReading              // part of an answer's head has come
	BodyReading              // an answer's head is whole, its body is not, and the caller has nothing of it
	Streaming                // the caller has part of an answer that is too long to keep
	Complete                 // its answer is whole
	phases
)

// Phases lists all phases in their order.
func Phases() []Phase { return upTo(phases) }

func (p Phase) String() string {
	return [...]string{"queued", "dialing", "connected", "writing the head", "writing the body", "written",
		"reading the head", "reading the body", "streaming", "complete"}[p]
}

// Event is what ends a send, or befalls it.
type Event uint8

const (
	Answered    Event = iota // the appliance's answer to this try: a success with its seal, or a status below 500
	Failed                   // its answer to this try with a status of 500 or more, which says that it ran
	NotRun                   // its answer to this try says that it did not run there
	Misdirected              // its answer to this try is 421: the address has passed to another appliance
	Rejected                 // its answer to this try is a 4xx which says that it did not run, by a fault of its own
	Unproven                 // its answer to this try has a status that promises callers it did not run, and does not say so
	Foreign                  // an answer with the id of another try
	Unnamed                  // an answer without the id of a try
	Unsealed                 // a success for this try without the appliance's seal
	Spoilt                   // bytes that are no answer, or an answer whose end can't be told
	Reset                    // the connection is reset, or refused, or its machine acknowledges nothing
	Close                    // the connection is closed
	Silence                  // nothing comes, until the time for it is over
	CallerGone               // the caller closes its connection
	Shutdown                 // the relay is told to end
	Withdrawn                // the leave to send there ends: the lease has run out, or the appliance leaves
	events
)

// Events lists all events in their order.
func Events() []Event { return upTo(events) }

func (e Event) String() string {
	return [...]string{"answered", "failed", "not run", "misdirected", "rejected", "unproven refusal", "foreign answer", "answer without an id",
		"success without a seal", "spoilt answer", "reset", "close", "silence", "caller gone", "shutdown", "withdrawn"}[e]
}

// Answer tells whether the event is an answer, or bytes in the place of one.
func (e Event) Answer() bool { return e <= Spoilt }

func upTo[T ~uint8](end T) []T {
	list := make([]T, end)
	for i := range list {
		list[i] = T(i)
	}
	return list
}
