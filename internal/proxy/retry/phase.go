package retry

// Phase is how far one send of a request to an appliance has come.
type Phase uint8

const (
	Queued           Phase = iota // it has no appliance yet
	Dialing                       // its connection is coming up
	Connected                     // it has a connection, new or kept, and nothing is written
	WritingHeader                 // part of its head is written
	WritingBody                   // its head is written, its body in part
	AwaitingResponse              // it is written whole
	ReadingHeader                 // part of an answer's head has come
	ReadingBody                   // an answer's head is whole, its body is not, and the caller has nothing of it
	Streaming                     // the caller has part of an answer that is too long to keep
	Complete                      // its answer is whole
	phaseCount
)

// AllPhases lists all phases in their order.
func AllPhases() []Phase { return enumerate(phaseCount) }

func (p Phase) String() string {
	return [...]string{"queued", "dialing", "connected", "writing the head", "writing the body", "written",
		"reading the head", "reading the body", "streaming", "complete"}[p]
}

// Event is what ends a send, or befalls it.
type Event uint8

const (
	ResponseReceived     Event = iota // the appliance's answer to this try: a success with its seal, or a status below 500
	ServerError                       // its answer to this try with a status of 500 or more, which says that it ran
	Declined                          // its answer to this try says that it did not run there
	Misdirected                       // its answer to this try is 421: the address has passed to another appliance
	RequestRejected                   // its answer to this try is a 4xx which says that it did not run, by a fault of its own
	UnconfirmedRefusal                // its answer to this try has a status that promises callers it did not run, and does not say so
	ForeignResponse                   // an answer with the id of another try
	UnidentifiedResponse              // an answer without the id of a try
	UnsealedResponse                  // a success for this try without the appliance's seal
	MalformedResponse                 // bytes that are no answer, or an answer whose end can't be told
	ConnectionReset                   // the connection is reset, or refused, or its machine acknowledges nothing
	ConnectionClosed                  // the connection is closed
	Timeout                           // nothing comes, until the time for it is over
	ClientDisconnected                // the caller closes its connection
	Shutdown                          // the relay is told to end
	PermissionRevoked                 // the leave to send there ends: the lease has run out, or the appliance leaves
	eventCount
)

// AllEvents lists all events in their order.
func AllEvents() []Event { return enumerate(eventCount) }

func (e Event) String() string {
	return [...]string{"answered", "failed", "not run", "misdirected", "rejected", "unproven refusal", "foreign answer", "answer without an id",
		"success without a seal", "spoilt answer", "reset", "close", "silence", "caller gone", "shutdown", "withdrawn"}[e]
}

// IsResponse tells whether the event is an answer, or bytes in the place of one.
func (e Event) IsResponse() bool { return e <= MalformedResponse }

func enumerate[T ~uint8](count T) []T {
	values := make([]T, count)
	for i := range values {
		values[i] = T(i)
	}
	return values
}
