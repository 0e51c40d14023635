package ws

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/match"
)

// host is an agent with the policy of a test.
type host struct {
	engine   *engine.Engine
	stopping chan struct{}
	rules    match.Judge
}

func (h *host) Engine() *engine.Engine { return h.engine }
func (h *host) Judge() match.Judge     { return h.rules }
func (h *host) Deployment() match.Deployment {
	return match.Deployment{Effects: map[string]string{"look": "pure", "keep": "receipted", "rollout-step": "effectful"}}
}
func (h *host) Timeouts(string) (timeout, maximum time.Duration) { return time.Second, 2 * time.Second }
func (h *host) AnswerGrace() time.Duration                       { return 0 }
func (h *host) TrackUpgraded(*http.Request) func()               { return func() {} }
func (h *host) Stopping() <-chan struct{}                        { return h.stopping }

// scriptedPolicy is a policy implemented by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

// startServer starts a server with the given policy and no backends.
func startServer(t *testing.T, limits Limits, step scriptedPolicy) (server *Server, agent *host, address string) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	agent = &host{stopping: make(chan struct{})}
	agent.engine = engine.New(time.Now(), step, func(api.Action) {}, log)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go agent.engine.Run(ctx)
	server = NewServer(agent, newTestPool(t, testConfig), limits, log)
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() { httpServer.CloseClientConnections(); httpServer.Close() })
	return server, agent, httpServer.Listener.Addr().String()
}

func dialClient(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	ws, _, err := websocket.Dial(withDeadline(t, 10*time.Second), "ws://"+address,
		&websocket.DialOptions{Subprotocols: []string{ClientProtocol}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeNow(ws) })
	return ws
}

func sendRequest(t *testing.T, ws *websocket.Conn, request ClientRequest) {
	t.Helper()
	if request.Type == "" {
		request.Type = "ask"
	}
	if err := ws.Write(withDeadline(t, 10*time.Second), websocket.MessageBinary, request.Encode()); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, ws *websocket.Conn) ClientMessage {
	t.Helper()
	_, message, err := ws.Read(withDeadline(t, 10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	received, err := ParseClientMessage(message)
	if err != nil {
		t.Fatal(err)
	}
	return received
}

// holdTransactions returns a policy that records the start and end of transactions and never answers them.
func holdTransactions(events chan api.Event) scriptedPolicy {
	return func(event api.Event) []api.Action {
		switch event.(type) {
		case api.TransactionAccepted, api.TransactionClosed:
			events <- event
		}
		return nil
	}
}

// deferAll is a policy that defers every transaction.
func deferAll(event api.Event) []api.Action {
	if accepted, ok := event.(api.TransactionAccepted); ok {
		return []api.Action{api.DeferTransaction{Transaction: accepted.ID, RetryAfter: 250 * time.Millisecond}}
	}
	return nil
}

// An invalid message, or one that fits no workload, gets an error and is never accepted. The connection stays open.
func TestErrors(t *testing.T) {
	_, _, address := startServer(t, DefaultLimits, deferAll)
	ws := dialClient(t, address)
	for message, want := range map[string]string{
		"":                               "no head",
		"\n":                             "no head",
		"{\n":                            "cannot be read",
		`{"type":"ask"}` + "\n":          "an id",
		`{"type":"fly","id":"x"}` + "\n": "no such type",
		`{"type":"ask","id":"x"}` + "\n": "a path",
		`{"type":"ask","id":"x","path":"//look"}` + "\n":                                          "a path",
		`{"type":"ask","id":"x","path":"/fly"}` + "\n":                                            "no such workload",
		`{"type":"ask","id":"x","path":"/look","timeout_ms":-1}` + "\n":                           "no time",
		`{"type":"ask","id":"x","path":"/look","method":"PUT"}` + "\n":                            "GET or POST",
		`{"type":"ask","id":"x","path":"/look","method":"POST"}` + "\n":                           "is not asked for so",
		`{"type":"ask","id":"x","path":"/keep","method":"POST"}` + "\n":                           "is not asked for so",
		`{"type":"ask","id":"x","path":"/look"}{"id":"y"}` + "\n":                                 "cannot be read",
		`{"type":"ask","id":"` + strings.Repeat("x", maxIDLength+1) + `","path":"/look"}` + "\n":  "an id",
		`{"type":"ask","id":"x","path":"/look","key":"` + strings.Repeat("k", 5000) + `"}` + "\n": "no head",
	} {
		writeMessage(ws, []byte(message))
		if received := receive(t, ws); received.Type != "error" || !strings.Contains(received.Error, want) {
			t.Errorf("%.60q: %+v, want %q", message, received, want)
		}
	}
	for _, request := range []ClientRequest{{ID: "a", Path: "/look/x"}, {ID: "b", Path: "/keep", Method: "POST",
		Idempotency: "i"}, {ID: "c", Path: "/rollout-step", Method: "POST", Body: []byte("b")}} {
		sendRequest(t, ws, request)
		if received := receive(t, ws); received.Type != "deferred" || received.ID != request.ID || received.RetryMS != 250 {
			t.Errorf("%+v: %+v", request, received)
		}
	}
}

// A request with the ID of an open transaction on any connection is rejected, and the open transaction continues.
func TestDuplicateID(t *testing.T) {
	events := make(chan api.Event, 9)
	_, _, address := startServer(t, DefaultLimits, holdTransactions(events))
	one, other := dialClient(t, address), dialClient(t, address)
	sendRequest(t, one, ClientRequest{ID: "x", Path: "/look"})
	<-events
	for _, ws := range []*websocket.Conn{one, other} {
		sendRequest(t, ws, ClientRequest{ID: "x", Path: "/look"})
		if received := receive(t, ws); received.Type != "error" || !strings.Contains(received.Error, "open") {
			t.Errorf("%+v", received)
		}
	}
	if len(events) > 0 {
		t.Errorf("the policy received %v", <-events)
	}
	sendRequest(t, one, ClientRequest{Type: "cancel", ID: "x"})
	if closed, ok := (<-events).(api.TransactionClosed); !ok || closed.Transaction != "x" {
		t.Errorf("after the cancel: %v", closed)
	}
}

// When a client disconnects with 50 open transactions, all of them are closed and nothing is leaked. Requests above the
// limit of open transactions are deferred and not accepted.
func TestClientDisconnects(t *testing.T) {
	events := make(chan api.Event, 200)
	limits := DefaultLimits
	limits.PerConnection = 50
	server, _, address := startServer(t, limits, holdTransactions(events))
	ws := dialClient(t, address)
	for i := range 50 {
		sendRequest(t, ws, ClientRequest{ID: fmt.Sprint(i), Path: "/look"})
		<-events
	}
	sendRequest(t, ws, ClientRequest{ID: "more", Path: "/look"})
	if received := receive(t, ws); received.Type != "deferred" || received.ID != "more" {
		t.Errorf("%+v", received)
	}
	closeNow(ws)
	for range 50 {
		if closed, ok := (<-events).(api.TransactionClosed); !ok {
			t.Errorf("%v", closed)
		}
	}
	for range 1000 {
		if connections, transactions := server.OpenCounts(); connections == 0 && transactions == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("connections or transactions are still open")
}

// The connection of a client that does not read is closed, so that its queue stays bounded.
func TestSlowClientIsClosed(t *testing.T) {
	limits := DefaultLimits
	limits.MaxQueued = 8
	server, _, address := startServer(t, limits, deferAll)
	ws := dialClient(t, address)
	for i := range 1 << 20 {
		if ws.Write(withDeadline(t, 10*time.Second), websocket.MessageBinary, ClientRequest{Type: "ask", ID: fmt.Sprint(i),
			Path: "/fly/" + strings.Repeat("x", 3000)}.Encode()) != nil {
			break
		}
		if connections, _ := server.OpenCounts(); connections == 0 {
			return
		}
	}
	for range 1000 {
		if connections, _ := server.OpenCounts(); connections == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the connection is still open")
}

// When the agent stops, clients get going_away, open transactions are answered, and then the connections are closed.
func TestGoingAway(t *testing.T) {
	accepted, proceed := make(chan api.Event, 1), make(chan struct{})
	server, agent, address := startServer(t, DefaultLimits, func(event api.Event) []api.Action {
		switch event := event.(type) {
		case api.TransactionAccepted:
			accepted <- event
			<-proceed
			return []api.Action{api.DeferTransaction{Transaction: event.ID}}
		}
		return nil
	})
	ws := dialClient(t, address)
	sendRequest(t, ws, ClientRequest{ID: "held", Path: "/look"})
	<-accepted
	close(agent.stopping)
	if received := receive(t, ws); received.Type != "going_away" || received.RetryMS <= 0 {
		t.Errorf("%+v", received)
	}
	sendRequest(t, ws, ClientRequest{ID: "new", Path: "/look"})
	if received := receive(t, ws); received.Type != "deferred" || received.ID != "new" {
		t.Errorf("%+v", received)
	}
	close(proceed)
	if received := receive(t, ws); received.Type != "deferred" || received.ID != "held" {
		t.Errorf("%+v", received)
	}
	if _, _, err := ws.Read(withDeadline(t, 10*time.Second)); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("%v", err)
	}
	if _, _, err := websocket.Dial(withDeadline(t, 10*time.Second), "ws://"+address,
		&websocket.DialOptions{Subprotocols: []string{ClientProtocol}}); err == nil {
		t.Error("a new connection was accepted")
	}
	_ = server
}

// clientFrame returns a WebSocket frame with the given first two bytes, adding the payload length to the second. If the
// mask bit is set, the masking key is zero.
func clientFrame(first, second byte, payload []byte) []byte {
	frame := []byte{first, second | byte(len(payload))}
	if len(payload) > 125 {
		frame = binary.BigEndian.AppendUint16([]byte{first, second | 126}, uint16(len(payload)))
	}
	if second&0x80 != 0 {
		frame = append(frame, 0, 0, 0, 0) // zero masking key
	}
	return append(frame, payload...)
}

// dialRaw opens and upgrades a connection on which a test can write raw frames.
func dialRaw(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: %s\r\n\r\n", ClientProtocol)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != 101 {
		t.Fatalf("%v %v", resp, err)
	}
	return conn, reader
}

// Frames that violate RFC 6455 cause the connection to be closed, and no request is accepted.
func TestMalformedFrames(t *testing.T) {
	events := make(chan api.Event, 9)
	_, _, address := startServer(t, DefaultLimits, holdTransactions(events))
	ask := ClientRequest{Type: "ask", ID: "x", Path: "/keep", Method: "POST", Idempotency: "i",
		Body: []byte("body")}.Encode()
	ask = ask[:len(ask)-1] // without the last byte of the body
	for name, bytes := range map[string][]byte{
		"unmasked":                clientFrame(0x82, 0, ask),
		"reserved bit":            clientFrame(0xC2, 0x80, ask),
		"unknown opcode":          clientFrame(0x83, 0x80, ask),
		"long control frame":      clientFrame(0x89, 0x80, make([]byte, 126)),
		"control in fragments":    clientFrame(0x09, 0x80, []byte("p")),
		"unexpected continuation": clientFrame(0x80, 0x80, ask),
		"invalid UTF-8 in text":   clientFrame(0x81, 0x80, []byte("\xff\xfe")),
		"truncated frame":         clientFrame(0x82, 0x80, ask)[:9],
		"unfinished message":      clientFrame(0x02, 0x80, ask),
		"too long": append(binary.BigEndian.AppendUint64([]byte{0x82, 0xFF}, 1<<40), make([]byte,
			4+2*MaxBodySize)...),
	} {
		conn, reader := dialRaw(t, address)
		_, _ = conn.Write(bytes) // the server may have closed the connection already
		if name == "truncated frame" || name == "unfinished message" {
			_ = conn.(*net.TCPConn).CloseWrite() // the server may have closed the connection already
		}
		if err := conn.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		first, err := reader.ReadByte()
		// An unfinished message is delivered like a complete one when the connection ends, so it gets an error response.
		if err == nil && first != 0x88 && (first != 0x82 || name != "unfinished message") {
			t.Errorf("%s: the response begins with %#x, want a close frame", name, first)
		}
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			t.Errorf("%s: no response", name)
		}
		time.Sleep(100 * time.Millisecond) // lets a wrong transaction show; the result does not depend on it
		conn.Close()
		select {
		case event := <-events:
			t.Errorf("%s: accepted: %v", name, event)
		default:
		}
	}
}
