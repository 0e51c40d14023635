package proxy

import (
	"net/http"
	"strings"
)

// Headers of the protocol.
const (
	headerTryID        = "X-Sagelever-Try-Id"
	headerTimeLeft     = "X-Sagelever-Time-Left-Ms"
	headerTargetServer = "X-Sagelever-Meant-Server"
	headerServerSeal   = "X-Sagelever-Server-Seal"
	headerNotExecuted  = "X-Sagelever-Not-Run"
	headerServerID     = "X-Sagelever-Server-Id"
	headerWarmUp       = "X-Sagelever-Warm-Up-Ms"
)

// hopByHopHeaders are the headers that concern only one connection.
var hopByHopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// removeConnectionHeaders removes the headers that a Connection header names.
func removeConnectionHeaders(header, source http.Header) {
	for _, line := range source["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != "" && name != "Close" && name != "Content-Length" {
				delete(header, name)
			}
		}
	}
}
