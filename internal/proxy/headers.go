package proxy

import (
	"net/http"
	"strings"
)

// Headers of the protocol between client, proxy and backend.
const (
	headerTryID        = "X-Sagelever-Try-Id"       // id of a client's request or retry; the response repeats it
	headerTimeLeft     = "X-Sagelever-Time-Left-Ms" // time for which the sender of a request waits for the response
	headerTargetServer = "X-Sagelever-Meant-Server" // id of the backend to which a request is addressed
	headerServerSeal   = "X-Sagelever-Server-Seal"  // proof in a 2xx response that a backend made it
	headerNotExecuted  = "X-Sagelever-Not-Run"      // in a response: the request was not executed
	headerServerID     = "X-Sagelever-Server-Id"    // id of the backend, in the response to a health check
	headerWarmUp       = "X-Sagelever-Warm-Up-Ms"   // how long the backend is still warming up, in the same response
)

// hopByHopHeaders are the headers that concern a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
}

// removeConnectionHeaders removes from header all headers that the Connection header of source lists. Content-Length is
// kept, as it delimits the message.
func removeConnectionHeaders(header, source http.Header) {
	for _, line := range source["Connection"] {
		for _, token := range strings.Split(line, ",") {
			name := http.CanonicalHeaderKey(strings.TrimSpace(token))
			if name != "" && name != "Close" && name != "Content-Length" {
				delete(header, name)
			}
		}
	}
}
