package retry

// Event is something that ends an attempt or occurs during one.
type Event uint8

// The events. Those up to MalformedResponse are responses or invalid bytes in place of one (see IsResponse). A response
// belongs to this attempt if it carries the try ID that the client has given the request.
const (
	ResponseReceived     Event = iota // a response to this attempt: a success with its seal, or a status below 500
	ServerError                       // a response to this attempt with a status of 500 or more: the request was executed
	Declined                          // a response to this attempt that states that the request was not executed
	Misdirected                       // a response to this attempt with status 421: the address belongs to another backend
	RequestRejected                   // a 4xx response to this attempt: the request was invalid and not executed
	UnconfirmedRefusal                // a status that means "not executed" to clients, without the backend's statement
	ForeignResponse                   // a response with the try ID of another request
	UnidentifiedResponse              // a response without a try ID
	UnsealedResponse                  // a success for this attempt without the backend's seal
	MalformedResponse                 // bytes that are not a response, or a response whose end can't be determined
	ConnectionReset                   // the connection is reset or refused, or the peer acknowledges nothing
	ConnectionClosed                  // the connection is closed
	Timeout                           // the time limit of the request or of the dial has passed
	ClientDisconnected                // the client closes its connection
	Shutdown                          // the proxy begins to shut down
	ShutdownDeadline                  // the time for requests in flight ends: the process is about to exit
	PermissionRevoked                 // sending is no longer allowed: the lease has expired, or the backend drains
	eventCount
)

// AllEvents returns all events in order.
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
		ShutdownDeadline:     "shutdown deadline",
		PermissionRevoked:    "permission revoked",
	}[e]
}

// IsResponse reports whether the event is a response, or invalid bytes in place of one.
func (e Event) IsResponse() bool { return e <= MalformedResponse }
