package proxy

import (
	"fmt"
	"testing"

	"sagelever/internal/proxy/draining"
)

// Guards against a refusal that is taken for a later one: two incarnations of a backend share an address, the request is
// misdirected by the first and sent to the second, and the backend repeats its first response in front of the second.
// A client must not be promised that its request was not executed when the second incarnation executes it.
func TestRepeatedRefusalIsNotTakenForNextIncarnation(t *testing.T) {
	for _, refusal := range []string{
		formatResponse(421, "", ownTryHeader),
		formatResponse(503, "", ownTryHeader, notRunHeader),
	} {
		backend := newScriptedBackend(t)
		backend.hold.Store(true)
		address := backend.address()
		proxy := startProxy(t, backendItem("i1", address), backendItem("i2", address))
		waitFor(t, "both incarnations are known", func() bool {
			return proxy.backendInState("i1", draining.Serving) && proxy.backendInState("i2", draining.Serving)
		})
		proxy.fillRetryBudget()
		go func() {
			for {
				select {
				case conn := <-backend.conns:
					go refuseThenRepeat(backend, conn, refusal)
				case <-t.Context().Done():
					return
				}
			}
		}()
		client := proxy.startRequest(t, clientRequest{tryID: scenarioTryID, path: "/o/1", timeLeftMs: 2000, bodyBytes: 1})
		response := <-client.response
		if arrivals := backend.runs(scenarioTryID); response.status != 200 || arrivals != 2 {
			t.Errorf("after %.12q: %v after %d arrivals, want 200 from the second incarnation, which executed the request",
				refusal, response, arrivals)
		}
	}
}

// refuseThenRepeat serves a connection of a backend in trouble. It refuses the first request of all its connections, and
// executes the second. On a connection that has carried the first, a copy of the refusal precedes the second response.
func refuseThenRepeat(backend *scriptedBackend, conn *backendConn, refusal string) {
	refusedHere := false
	for {
		tryID, err := backend.readRequest(conn)
		if err != nil {
			return
		}
		switch {
		case backend.runs(tryID) == 1:
			refusedHere = true
			fmt.Fprint(conn, refusal)
		case refusedHere:
			fmt.Fprint(conn, refusal+successResponse(shortBody))
		default:
			fmt.Fprint(conn, successResponse(shortBody))
		}
	}
}
