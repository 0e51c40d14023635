package retry

// Phase is the progress of an attempt to send a request to a backend.
type Phase uint8

// The phases, in order.
const (
	Queued           Phase = iota // the request has no backend yet
	Dialing                       // the connection is being established
	Connected                     // there is a new or reused connection, and nothing has been written on it
	WritingHeader                 // part of the request's header has been written
	WritingBody                   // the header and part of the body have been written
	AwaitingResponse              // the request has been written completely
	ReadingHeader                 // part of a response's header has arrived
	ReadingBody                   // the response's header is complete, its body is not; nothing was sent to the client
	Streaming                     // part of the response was sent to the client, because it is too long to buffer
	Complete                      // the response is complete
	phaseCount
)

// AllPhases returns all phases in order.
func AllPhases() []Phase { return enumerate(phaseCount) }

func (p Phase) String() string {
	return [...]string{
		Queued:           "queued",
		Dialing:          "dialing",
		Connected:        "connected",
		WritingHeader:    "writing header",
		WritingBody:      "writing body",
		AwaitingResponse: "awaiting response",
		ReadingHeader:    "reading header",
		ReadingBody:      "reading body",
		Streaming:        "streaming",
		Complete:         "complete",
	}[p]
}

// enumerate returns the values from 0 to count-1.
func enumerate[T ~uint8](count T) []T {
	values := make([]T, count)
	for i := range values {
		values[i] = T(i)
	}
	return values
}
