package retry

// Phase is how far one send of a request to a backend has come.
type Phase uint8

// The phases in their order.
const (
	Queued           Phase = iota // the request has no backend yet
	Dialing                       // the connection is being established
	Connected                     // there is a connection, new or reused, and nothing is written on it
	WritingHeader                 // a part of the request's header is written
	WritingBody                   // the header is written, the body in part
	AwaitingResponse              // the request is written completely
	ReadingHeader                 // a part of a response's header has arrived
	ReadingBody                   // the response's header is complete, its body is not, and the client has none of it
	Streaming                     // the client has a part of a response that is too long to buffer
	Complete                      // the response is complete
	phaseCount
)

// AllPhases returns all phases in their order.
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

// enumerate returns the values from 0 up to, and without, count.
func enumerate[T ~uint8](count T) []T {
	values := make([]T, count)
	for i := range values {
		values[i] = T(i)
	}
	return values
}
