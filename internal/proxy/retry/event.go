package retry

// Event is what ends a send, or happens to it.
type Event uint8

// The events. Those up to MalformedResponse are responses, or bytes in the place of one (see IsResponse). A response
// belongs to this attempt if it carries the attempt's id.
const (
	ResponseReceived     Event = iota // a response to this attempt: a success with its seal, or a status below 500
	ServerError                       // one with a status of 500 or more, which says that the request was executed
	Declined                          // one that says that the request was not executed there
	Misdirected                       // one with status 421: the address belongs to another backend by now
	RequestRejected                   // one with a 4xx that says that the request, wrong in itself, was not executed
	UnconfirmedRefusal                // one with a status that promises clients no execution, but does not confirm it
	ForeignResponse                   // a response with the id of another attempt
	UnidentifiedResponse              // a response without the id of an attempt
	UnsealedResponse                  // a success for this attempt without the backend's seal
	MalformedResponse                 // bytes that are no response, or a response without a recognizable end
	ConnectionReset                   // the connection is reset or refused, or the other machine acknowledges nothing
	ConnectionClosed                  // the connection is closed
	Timeout                           // nothing arrives within the time of the request, or of the dial
	ClientDisconnected                // the client closes its connection
	Shutdown                          // the proxy begins to shut down
	PermissionRevoked                 // the backend may not be sent to any more: the lease has expired, or it drains
	eventCount
)

// AllEvents returns all events in their order.
func AllEvents() []Event { return enumerate(eventCount) }

func (e Event) String() string {
	return [...]string{
		ResponseReceived:     "response received",
		ServerError:          "server error",
		Declined:             "declined",
		Misdirected:          "misdirected",
		RequestRejected:      "request rejected",
		UnconfirmedRefusal:   "unconfirmed refusal",
		ForeignResponse:      "foreign response",
		UnidentifiedResponse: "unidentified response",
		UnsealedResponse:     "unsealed response",
		MalformedResponse:    "malformed response",
		ConnectionReset:      "connection reset",
		ConnectionClosed:     "connection closed",
		Timeout:              "timeout",
		ClientDisconnected:   "client disconnected",
		Shutdown:             "shutdown",
		PermissionRevoked:    "permission revoked",
	}[e]
}

// IsResponse reports whether the event is a response, or bytes in the place of one.
func (e Event) IsResponse() bool { return e <= MalformedResponse }
