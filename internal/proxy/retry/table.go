package retry

// Rules that hold in several phases.
var (
	impossibleRule   = Rule{}
	continuesRule    = Rule{Possible: true, Continuation: Continues, Response: Pending, Connection: Reuse}
	responseRule     = Rule{Possible: true, Execution: Executed, Response: Forwarded, Retry: Never, Connection: Reuse}
	serverErrorRule  = responseRule.withRetry(IfIdempotent)
	rejectedRule     = Rule{Possible: true, Execution: NotExecuted, Response: Forwarded, Retry: Never, Connection: Reuse}
	unavailableRule  = Rule{Possible: true, Execution: NotExecuted, Response: ServiceUnavailable, Retry: Never}
	declinedRule     = unavailableRule.withRetry(Always).withConnection(Reuse)
	lostResponseRule = Rule{Possible: true, Execution: MaybeExecuted, Response: BadGateway, Retry: IfIdempotent}
	timeoutRule      = Rule{Possible: true, Execution: MaybeExecuted, Response: GatewayTimeout, Retry: Never}
	abortedRule      = Rule{Possible: true, Execution: Executed, Response: Aborted, Retry: Never}
	abandonedRule    = Rule{Possible: true, Continuation: EndedIfIdempotent, Response: BadGateway}
)

// rules is the whole table. What is written, even in part, may have been executed unless a response to this very
// attempt says otherwise, because how much of it has arrived is not known here.
var rules = [phaseCount][eventCount]Rule{
	Queued:           queuedRules(),
	Dialing:          dialingRules(),
	Connected:        connectedRules(),
	WritingHeader:    writingRules(),
	WritingBody:      writingRules(),
	AwaitingResponse: awaitingResponseRules(),
	ReadingHeader:    awaitingResponseRules(), // the response that has begun becomes one of those
	ReadingBody:      readingBodyRules(),
	Streaming:        streamingRules(),
	Complete:         completeRules(),
}

// Decide returns the rule for an event in a phase.
func Decide(phase Phase, event Event) Rule { return rules[phase][event] }

// queuedRules: a request whose client is gone is not begun, and a shutdown interrupts none.
func queuedRules() (row [eventCount]Rule) {
	rejected := unavailableRule.withConnection(NoConnection)
	row[Timeout] = rejected
	row[ClientDisconnected] = rejected

	unaffected := continuesRule.withExecution(NotExecuted).withConnection(NoConnection)
	row[Shutdown] = unaffected
	row[PermissionRevoked] = unaffected
	return row
}

// dialingRules: the permission to send is checked again before the first byte is written, so that it may end here and
// be granted again without effect.
func dialingRules() (row [eventCount]Rule) {
	row = queuedRules()
	failed := declinedRule.withConnection(NoConnection)
	row[ConnectionReset] = failed
	row[Timeout] = failed
	return row
}

// connectedRules: what arrives before a request is written belongs to no request, and the connection is unusable.
func connectedRules() (row [eventCount]Rule) {
	for _, event := range AllEvents() {
		row[event] = declinedRule.withConnection(Discard)
	}
	row[Timeout] = unavailableRule
	row[ClientDisconnected] = unavailableRule
	row[Shutdown] = continuesRule.withExecution(NotExecuted)
	return row
}

// writingRules: a response may arrive before the request is written completely. It counts, but what the backend makes
// of the rest of the request is unknown, so that no other request follows on that connection.
func writingRules() (row [eventCount]Rule) {
	row = awaitingResponseRules()
	for _, event := range AllEvents() {
		if event.IsResponse() {
			row[event].Connection = Discard
		}
	}
	return row
}

// awaitingResponseRules: only a response with the id of this attempt says anything about it.
func awaitingResponseRules() (row [eventCount]Rule) {
	row[ResponseReceived] = responseRule
	row[ServerError] = serverErrorRule
	row[Declined] = declinedRule
	row[Misdirected] = declinedRule
	row[RequestRejected] = rejectedRule
	row[UnconfirmedRefusal] = lostResponseRule.withConnection(Reuse)
	row[ForeignResponse] = continuesRule.withConnection(Discard)
	row[UnidentifiedResponse] = lostResponseRule
	row[UnsealedResponse] = lostResponseRule
	row[MalformedResponse] = lostResponseRule
	row[ConnectionReset] = lostResponseRule
	row[ConnectionClosed] = lostResponseRule
	row[Timeout] = timeoutRule
	row[ClientDisconnected] = abandonedRule
	row[Shutdown] = continuesRule
	row[PermissionRevoked] = continuesRule
	return row
}

// readingBodyRules: the header has shown which attempt the response belongs to.
func readingBodyRules() (row [eventCount]Rule) {
	row = awaitingResponseRules()
	row[ForeignResponse] = impossibleRule
	row[UnidentifiedResponse] = impossibleRule
	row[UnsealedResponse] = impossibleRule
	return row
}

// streamingRules: the client has a part of the response, so that no other can take its place.
func streamingRules() (row [eventCount]Rule) {
	row[ResponseReceived] = responseRule
	row[ServerError] = responseRule
	row[RequestRejected] = rejectedRule
	for _, event := range []Event{MalformedResponse, ConnectionReset, ConnectionClosed, Timeout, ClientDisconnected} {
		row[event] = abortedRule
	}
	row[Shutdown] = continuesRule.withExecution(Executed)
	row[PermissionRevoked] = continuesRule.withExecution(Executed)
	return row
}

// completeRules: nothing changes a complete response. The connection ends with whatever arrives after it.
func completeRules() (row [eventCount]Rule) {
	for _, event := range AllEvents() {
		row[event] = responseRule.withConnection(Discard)
	}
	for _, event := range []Event{Timeout, ClientDisconnected, Shutdown, PermissionRevoked} {
		row[event] = responseRule
	}
	return row
}
