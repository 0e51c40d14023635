package ws

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
)

// onlyClient returns the only connection of a server.
func (s *Server) onlyClient(t *testing.T) *clientConn {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		return c
	}
	t.Fatal("the server has no connection")
	return nil
}

// readUntilClosed reports whether a client receives an answer with an id before its connection is closed.
func readUntilClosed(t *testing.T, ws *websocket.Conn, id string) (answered bool) {
	t.Helper()
	for {
		_, message, err := ws.Read(withDeadline(t, 10*time.Second))
		if err != nil {
			return answered
		}
		if received, err := ParseClientMessage(message); err == nil && received.ID == id {
			answered = true
		}
	}
}

// Guards against a transaction that is accepted while its connection is being drained, and ends without an answer: here
// its request is read before the shutdown begins and registered after it.
func TestDrainAnswersTransactionInRegistration(t *testing.T) {
	const settle = 50 * time.Millisecond
	var accepted atomic.Bool
	server, agent, address := startServer(t, DefaultLimits, func(event api.Event) []api.Action {
		if _, ok := event.(api.TransactionAccepted); ok {
			accepted.Store(true)
		}
		return deferAll(event)
	})
	ws := dialClient(t, address)
	sendRequest(t, ws, ClientRequest{ID: "first", Path: "/look"})
	receive(t, ws)
	client := server.onlyClient(t)
	client.mu.Lock() // delays the registration of the next transaction
	accepted.Store(false)
	sendRequest(t, ws, ClientRequest{ID: "second", Path: "/look"})
	time.Sleep(settle)
	close(agent.stopping)
	time.Sleep(settle)
	client.mu.Unlock()
	if !readUntilClosed(t, ws, "second") {
		t.Errorf("the client got no answer; transaction accepted: %v", accepted.Load())
	}
}
