package retry

// Rules that apply in several phases.
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

// rules is the rule table. A request of which any part was written may have been executed unless a response to this
// attempt states otherwise, because the proxy can't determine how much of it reached the backend.
var rules = [phaseCount][eventCount]Rule{
	Queued:           queuedRules(),
	Dialing:          dialingRules(),
	Connected:        connectedRules(),
	WritingHeader:    writingRules(),
	WritingBody:      writingRules(),
	AwaitingResponse: awaitingResponseRules(),
	ReadingHeader:    awaitingResponseRules(), // the complete header determines the event of the response
	ReadingBody:      readingBodyRules(),
	Streaming:        streamingRules(),
	Complete:         completeRules(),
}

// Decide returns the rule for an event in a phase.
func Decide(phase Phase, event Event) Rule { return rules[phase][event] }

// queuedRules returns the rules of Queued. A request whose client has disconnected is not sent. A shutdown does not
// affect a queued request until its deadline.
func queuedRules() (row [eventCount]Rule) {
	rejected := unavailableRule.withConnection(NoConnection)
	row[Timeout] = rejected
	row[ClientDisconnected] = rejected
	row[ShutdownDeadline] = rejected

	unaffected := continuesRule.withExecution(NotExecuted).withConnection(NoConnection)
	row[Shutdown] = unaffected
	row[PermissionRevoked] = unaffected
	return row
}

// dialingRules returns the rules of Dialing. PermissionRevoked has no effect, because the permission to send is checked
// again before the first byte is written.
func dialingRules() (row [eventCount]Rule) {
	row = queuedRules()
	failed := declinedRule.withConnection(NoConnection)
	row[ConnectionReset] = failed
	row[Timeout] = failed
	return row
}

// connectedRules returns the rules of Connected. Bytes that arrive before the request is written belong to no request,
// and make the connection unusable.
func connectedRules() (row [eventCount]Rule) {
	for _, event := range AllEvents() {
		row[event] = declinedRule.withConnection(Discard)
	}
	row[Timeout] = unavailableRule
	row[ClientDisconnected] = unavailableRule
	row[Shutdown] = continuesRule.withExecution(NotExecuted)
	row[ShutdownDeadline] = unavailableRule
	return row
}

// writingRules returns the rules of WritingHeader and WritingBody. A response may arrive before the request is written
// completely. It is valid, but the backend's handling of the remaining bytes is unknown, so the connection must not
// carry another request.
func writingRules() (row [eventCount]Rule) {
	row = awaitingResponseRules()
	for _, event := range AllEvents() {
		if event.IsResponse() {
			row[event].Connection = Discard
		}
	}
	return row
}

// awaitingResponseRules returns the rules of AwaitingResponse. Only a response with the try ID of the request is
// evidence of its execution.
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
	row[ShutdownDeadline] = timeoutRule
	row[PermissionRevoked] = continuesRule
	return row
}

// readingBodyRules returns the rules of ReadingBody. The header has already shown that the response belongs to this
// attempt.
func readingBodyRules() (row [eventCount]Rule) {
	row = awaitingResponseRules()
	row[ForeignResponse] = impossibleRule
	row[UnidentifiedResponse] = impossibleRule
	row[UnsealedResponse] = impossibleRule
	return row
}

// streamingRules returns the rules of Streaming. The client has received part of the response, so no other response can
// replace it, and it continues until the process exits.
func streamingRules() (row [eventCount]Rule) {
	row[ResponseReceived] = responseRule
	row[ServerError] = responseRule
	row[RequestRejected] = rejectedRule
	for _, event := range []Event{MalformedResponse, ConnectionReset, ConnectionClosed, Timeout, ClientDisconnected} {
		row[event] = abortedRule
	}
	row[Shutdown] = continuesRule.withExecution(Executed)
	row[ShutdownDeadline] = continuesRule.withExecution(Executed)
	row[PermissionRevoked] = continuesRule.withExecution(Executed)
	return row
}

// completeRules returns the rules of Complete. No event changes a complete response. The connection is discarded if
// anything arrives on it after the response.
func completeRules() (row [eventCount]Rule) {
	for _, event := range AllEvents() {
		row[event] = responseRule.withConnection(Discard)
	}
	for _, event := range []Event{Timeout, ClientDisconnected, Shutdown, ShutdownDeadline, PermissionRevoked} {
		row[event] = responseRule
	}
	return row
}
