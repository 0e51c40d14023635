package relay

import (
	"net/http"
	"strings"
)

// Headers of the protocol.
const (
	tryID    = "X-Sagelever-Try-Id"
	timeLeft = "X-Sagelever-Time-Left-Ms"
	meant    = "X-Sagelever-Meant-Server"
	stamp    = "X-Sagelever-Server-Seal"
	notRun   = "X-Sagelever-Not-Run"
	serverID = "X-Sagelever-Server-Id"
	warmUp   = "X-Sagelever-Warm-Up-Ms"
)

// hopByHop are the headers that concern only one connection.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// drop removes the headers that a Connection header names.
func drop(from, named http.Header) {
	for _, line := range named["Connection"] {
		for _, k := range strings.Split(line, ",") {
			if k = http.CanonicalHeaderKey(strings.TrimSpace(k)); k != "" && k != "Close" && k != "Content-Length" {
				delete(from, k)
			}
		}
	}
}
