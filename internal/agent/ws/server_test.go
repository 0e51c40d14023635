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

// host is an agent with a policy of the test's.
type host struct {
	engine  *engine.Engine
	leaving chan struct{}
	rules   match.Judge
}

func (h *host) Engine() *engine.Engine { return h.engine }
func (h *host) Judge() match.Judge     { return h.rules }
func (h *host) Deployment() match.Deployment {
	return match.Deployment{Effects: map[string]string{"look": "pure", "keep": "receipted", "rollout-step": "effectful"}}
}
func (h *host) Timeouts(string) (each, most time.Duration) { return time.Second, 2 * time.Second }
func (h *host) AnswerGrace() time.Duration                 { return 0 }
func (h *host) TrackUpgraded(*http.Request) func()         { return func() {} }
func (h *host) Stopping() <-chan struct{}                  { return h.leaving }

// scriptedPolicy is a policy that answers each event by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

// startServer serves clients with a policy of the test's, and one backend that answers.
func startServer(t *testing.T, limits Limits, step scriptedPolicy) (f *Server, h *host, at string) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	h = &host{leaving: make(chan struct{})}
	h.engine = engine.New(time.Now(), step, func(api.Action) {}, log)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go h.engine.Run(ctx)
	f = NewServer(h, poolTo(t, quick), limits, log)
	s := httptest.NewServer(f)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return f, h, s.Listener.Addr().String()
}

func dialClient(t *testing.T, at string) *websocket.Conn {
	t.Helper()
	ws, _, err := websocket.Dial(withDeadline(t, 10*time.Second), "ws://"+at,
		&websocket.DialOptions{Subprotocols: []string{ClientProtocol}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeNow(ws) })
	return ws
}

func sendRequest(t *testing.T, ws *websocket.Conn, a ClientRequest) {
	t.Helper()
	if a.Type == "" {
		a.Type = "ask"
	}
	if err := ws.Write(withDeadline(t, 10*time.Second), websocket.MessageBinary, a.Encode()); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, ws *websocket.Conn) ClientMessage {
	t.Helper()
	_, m, err := ws.Read(withDeadline(t, 10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	x, err := ParseClientMessage(m)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// holdTransactions is a policy that passes on what happens and answers nothing.
func holdTransactions(events chan api.Event) scriptedPolicy {
	return func(event api.Event) []api.Action {
		switch event.(type) {
		case api.TransactionAccepted, api.TransactionClosed:
			events <- event
		}
		return nil
	}
}

func deferAll(event api.Event) []api.Action {
	if x, ok := event.(api.TransactionAccepted); ok {
		return []api.Action{api.DeferTransaction{Transaction: x.ID, RetryAfter: 250 * time.Millisecond}}
	}
	return nil
}

// A message that cannot be read, or fits no workload, gets an error and is never accepted; the connection goes on.
func TestErrors(t *testing.T) {
	_, _, at := startServer(t, DefaultLimits, deferAll)
	ws := dialClient(t, at)
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
		if x := receive(t, ws); x.Type != "error" || !strings.Contains(x.Error, want) {
			t.Errorf("%.60q: %+v, want %q", message, x, want)
		}
	}
	for _, a := range []ClientRequest{{ID: "a", Path: "/look/x"}, {ID: "b", Path: "/keep", Method: "POST",
		Idempotency: "i"}, {ID: "c", Path: "/rollout-step", Method: "POST", Body: []byte("b")}} {
		sendRequest(t, ws, a)
		if x := receive(t, ws); x.Type != "deferred" || x.ID != a.ID || x.RetryMS != 250 {
			t.Errorf("%+v: %+v", a, x)
		}
	}
}

// An id that is open, on this connection or another, is refused, and the first transaction goes on.
func TestDuplicateID(t *testing.T) {
	events := make(chan api.Event, 9)
	_, _, at := startServer(t, DefaultLimits, holdTransactions(events))
	one, other := dialClient(t, at), dialClient(t, at)
	sendRequest(t, one, ClientRequest{ID: "x", Path: "/look"})
	<-events
	for _, ws := range []*websocket.Conn{one, other} {
		sendRequest(t, ws, ClientRequest{ID: "x", Path: "/look"})
		if x := receive(t, ws); x.Type != "error" || !strings.Contains(x.Error, "open") {
			t.Errorf("%+v", x)
		}
	}
	if len(events) > 0 {
		t.Errorf("the policy received %v", <-events)
	}
	sendRequest(t, one, ClientRequest{Type: "cancel", ID: "x"})
	if e, ok := (<-events).(api.TransactionClosed); !ok || e.Transaction != "x" {
		t.Errorf("after the cancel: %v", e)
	}
}

// A client that disconnects with fifty transactions open leaves nothing behind; one that asks for too many at once is
// told to return, and these are not accepted.
func TestClientDisconnects(t *testing.T) {
	events := make(chan api.Event, 200)
	limits := DefaultLimits
	limits.PerConnection = 50
	f, _, at := startServer(t, limits, holdTransactions(events))
	ws := dialClient(t, at)
	for i := range 50 {
		sendRequest(t, ws, ClientRequest{ID: fmt.Sprint(i), Path: "/look"})
		<-events
	}
	sendRequest(t, ws, ClientRequest{ID: "more", Path: "/look"})
	if x := receive(t, ws); x.Type != "deferred" || x.ID != "more" {
		t.Errorf("%+v", x)
	}
	closeNow(ws)
	for range 50 {
		if e, ok := (<-events).(api.TransactionClosed); !ok {
			t.Errorf("%v", e)
		}
	}
	for range 1000 {
		if c, n := f.Load(); c == 0 && n == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("something is left")
}

// A client that does not read is closed, so that its queue stays bounded.
func TestSlowClientIsClosed(t *testing.T) {
	limits := DefaultLimits
	limits.MaxQueued = 8
	f, _, at := startServer(t, limits, deferAll)
	ws := dialClient(t, at)
	for i := range 1 << 20 {
		if ws.Write(withDeadline(t, 10*time.Second), websocket.MessageBinary, ClientRequest{Type: "ask", ID: fmt.Sprint(i),
			Path: "/fly/" + strings.Repeat("x", 3000)}.Encode()) != nil {
			break
		}
		if c, _ := f.Load(); c == 0 {
			return
		}
	}
	for range 1000 {
		if c, _ := f.Load(); c == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("it is still served")
}

// When the agent stops, clients are told, open transactions are answered, and then the connections are closed.
func TestGoingAway(t *testing.T) {
	taken, answer := make(chan api.Event, 1), make(chan struct{})
	f, h, at := startServer(t, DefaultLimits, func(event api.Event) []api.Action {
		switch x := event.(type) {
		case api.TransactionAccepted:
			taken <- x
			<-answer
			return []api.Action{api.DeferTransaction{Transaction: x.ID}}
		}
		return nil
	})
	ws := dialClient(t, at)
	sendRequest(t, ws, ClientRequest{ID: "held", Path: "/look"})
	<-taken
	close(h.leaving)
	if x := receive(t, ws); x.Type != "going_away" || x.RetryMS <= 0 {
		t.Errorf("%+v", x)
	}
	sendRequest(t, ws, ClientRequest{ID: "new", Path: "/look"})
	if x := receive(t, ws); x.Type != "deferred" || x.ID != "new" {
		t.Errorf("%+v", x)
	}
	close(answer)
	if x := receive(t, ws); x.Type != "deferred" || x.ID != "held" {
		t.Errorf("%+v", x)
	}
	if _, _, err := ws.Read(withDeadline(t, 10*time.Second)); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("%v", err)
	}
	if _, _, err := websocket.Dial(withDeadline(t, 10*time.Second), "ws://"+at,
		&websocket.DialOptions{Subprotocols: []string{ClientProtocol}}); err == nil {
		t.Error("a new connection was accepted")
	}
	_ = f
}

// clientFrame is a WebSocket frame with the given first two bytes, but for the payload's length, which it adds. If the
// second byte says that the frame is masked, the mask changes nothing.
func clientFrame(first, second byte, payload []byte) []byte {
	f := []byte{first, second | byte(len(payload))}
	if len(payload) > 125 {
		f = binary.BigEndian.AppendUint16([]byte{first, second | 126}, uint16(len(payload)))
	}
	if second&0x80 != 0 {
		f = append(f, 0, 0, 0, 0) // a mask that changes nothing
	}
	return append(f, payload...)
}

// dialRaw opens a connection and has it upgraded, so that a test can write frames byte by byte.
func dialRaw(t *testing.T, at string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: %s\r\n\r\n", ClientProtocol)
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil || resp.StatusCode != 101 {
		t.Fatalf("%v %v", resp, err)
	}
	return c, in
}

// Frames that RFC 6455 forbids end the connection with a close, and nothing is accepted.
func TestMalformedFrames(t *testing.T) {
	events := make(chan api.Event, 9)
	_, _, at := startServer(t, DefaultLimits, holdTransactions(events))
	ask := ClientRequest{Type: "ask", ID: "x", Path: "/keep", Method: "POST", Idempotency: "i",
		Body: []byte("body")}.Encode()
	ask = ask[:len(ask)-1] // the last byte has not come
	for name, bytes := range map[string][]byte{
		"unmasked":                clientFrame(0x82, 0, ask),
		"reserved bit":            clientFrame(0xC2, 0x80, ask),
		"unknown opcode":          clientFrame(0x83, 0x80, ask),
		"long control frame":      clientFrame(0x89, 0x80, make([]byte, 126)),
		"control in fragments":    clientFrame(0x09, 0x80, []byte("p")),
		"continuation of nothing": clientFrame(0x80, 0x80, ask),
		"text that is no UTF-8":   clientFrame(0x81, 0x80, []byte("\xff\xfe")),
		"half a frame":            clientFrame(0x82, 0x80, ask)[:9],
		"a message without end":   clientFrame(0x02, 0x80, ask),
		"too long": append(binary.BigEndian.AppendUint64([]byte{0x82, 0xFF}, 1<<40), make([]byte,
			4+2*MaxBodySize)...),
	} {
		c, in := dialRaw(t, at)
		_, _ = c.Write(bytes) // the server may have closed it by then
		if name == "half a frame" || name == "a message without end" {
			_ = c.(*net.TCPConn).CloseWrite() // the server may have closed it by then
		}
		if err := c.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
			t.Fatal(err)
		}
		first, err := in.ReadByte()
		// What had come of a message without an end is delivered as if it were all: it gets an error, and the connection
		// ends.
		if err == nil && first != 0x88 && (first != 0x82 || name != "a message without end") {
			t.Errorf("%s: the answer begins with %#x, no close", name, first)
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: nothing comes", name)
		}
		time.Sleep(100 * time.Millisecond) // so that a wrong transaction would show; it only ever hides a failure
		c.Close()
		select {
		case e := <-events:
			t.Errorf("%s: accepted: %v", name, e)
		default:
		}
	}
}
