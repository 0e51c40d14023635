package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"sagelever/internal/proxy/retry"
)

// Sizes in bytes, headers and bodies that scenarios send. Buffers on the way to the scripted backend are small, so that
// the write of a large request blocks midway.
const (
	smallBuffer     = 1 << 11
	largeHeader     = 300 << 10
	largeBody       = 900 << 10
	streamedBody    = maxBufferedBody + 300<<10 // size of a response that is too long to buffer
	scenarioTryID   = "t1"
	otherTryID      = "t0"
	ownTryHeader    = headerTryID + ": " + scenarioTryID
	otherTryHeader  = headerTryID + ": " + otherTryID
	sealHeader      = headerServerSeal + ": seal"
	notRunHeader    = headerNotExecuted + ": 1"
	shortBody       = "yes"
	foreignBody     = "no"
	malformedHeader = "what is this\r\n\r\n"
)

// responseBodyFor returns the response body of a scenario whose event occurs in the given phase.
func responseBodyFor(phase retry.Phase) string {
	switch phase {
	case retry.ReadingBody:
		return strings.Repeat("body ", 200)
	case retry.Streaming:
		return strings.Repeat("long body ", streamedBody/10)
	}
	return shortBody
}

// formatResponse returns a response in wire format.
func formatResponse(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), strings.Join(headers, "\r\n"), len(body), body)
}

// responseFor returns the response that the backend writes for an event, and the status that the client receives if it
// is forwarded.
func responseFor(event retry.Event, body string) (response string, forwardedStatus int) {
	switch event {
	case retry.ServerError:
		return formatResponse(500, body, ownTryHeader), 500
	case retry.Declined:
		return formatResponse(503, body, ownTryHeader, notRunHeader), 0
	case retry.Misdirected:
		return formatResponse(421, body, ownTryHeader), 0
	case retry.RequestRejected:
		return formatResponse(400, body, ownTryHeader, notRunHeader), 400
	case retry.UnconfirmedRefusal:
		return formatResponse(503, body, ownTryHeader), 0
	case retry.ForeignResponse:
		return formatResponse(200, foreignBody, otherTryHeader, sealHeader), 0
	case retry.UnidentifiedResponse:
		return formatResponse(503, foreignBody, notRunHeader), 0
	case retry.UnsealedResponse:
		return formatResponse(200, body, ownTryHeader), 0
	case retry.MalformedResponse:
		return malformedHeader, 0
	}
	return successResponse(body), 200
}

// successResponse returns a complete response to the scenario's request.
func successResponse(body string) string {
	return formatResponse(200, body, ownTryHeader, sealHeader)
}

// scriptedBackend is a backend whose connections a scenario controls. While hold is set, it hands new connections to
// the scenario. It serves all other connections itself.
type scriptedBackend struct {
	listener net.Listener
	conns    chan *backendConn // the connections handed to the scenario
	hold     atomic.Bool
	accepted int // only the accept loop uses it

	mu           sync.Mutex
	requestCount map[string]int // by try id
	connOf       map[string]int // number of the connection, by try id
}

// backendConn is a connection to the scripted backend.
type backendConn struct {
	*net.TCPConn
	number int
	reader *bufio.Reader
}

func newScriptedBackend(t *testing.T) *scriptedBackend {
	t.Helper()
	config := net.ListenConfig{Control: shrinkReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &scriptedBackend{
		listener:     listener,
		conns:        make(chan *backendConn, 100),
		requestCount: map[string]int{},
		connOf:       map[string]int{},
	}
	go b.acceptLoop(t)
	return b
}

// shrinkReceiveBuffer sets a small receive buffer on a listening socket and the connections that it accepts.
func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// acceptLoop accepts connections until the listener is closed.
func (b *scriptedBackend) acceptLoop(t *testing.T) {
	for {
		accepted, err := b.listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { accepted.Close() })
		b.accepted++
		conn := &backendConn{
			TCPConn: accepted.(*net.TCPConn),
			number:  b.accepted,
			reader:  bufio.NewReader(accepted),
		}
		if b.hold.Load() {
			b.conns <- conn
		} else {
			go b.serve(conn)
		}
	}
}

func (b *scriptedBackend) address() string { return b.listener.Addr().String() }

// runs returns how many requests with a try id have arrived completely.
func (b *scriptedBackend) runs(tryID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requestCount[tryID]
}

// connNumber returns the number of the connection on which a request has arrived, or 0 if it has not arrived.
func (b *scriptedBackend) connNumber(tryID string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.connOf[tryID]
}

// readRequest reads one complete request, counts it and returns its try id.
func (b *scriptedBackend) readRequest(conn *backendConn) (tryID string, err error) {
	request, err := http.ReadRequest(conn.reader)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", err
	}
	tryID = request.Header.Get(headerTryID)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestCount[tryID]++
	b.connOf[tryID] = conn.number
	return tryID, nil
}

// serve answers all requests on a connection until it ends.
func (b *scriptedBackend) serve(conn *backendConn) {
	for {
		tryID, err := b.readRequest(conn)
		if err != nil {
			return
		}
		response := formatResponse(200, shortBody, headerTryID+": "+tryID, sealHeader)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// testClient is a client with its own connection.
type testClient struct {
	net.Conn
	response chan testResponse
}

// clientRequest is a request that a testClient sends.
type clientRequest struct {
	tryID       string
	path        string
	timeLeftMs  int
	headerBytes int // of an additional header
	bodyBytes   int
}

// startRequest sends a request as a client and reads the response in the background.
func (p *testProxy) startRequest(t *testing.T, request clientRequest) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp4", p.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := &testClient{Conn: conn, response: make(chan testResponse, 1)}
	go func() {
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nX-More: %s\r\nContent-Length: %d\r\n\r\n%s",
			request.path, headerTryID, request.tryID, headerTimeLeft, request.timeLeftMs,
			strings.Repeat("m", request.headerBytes), request.bodyBytes, strings.Repeat("b", request.bodyBytes))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			client.response <- testResponse{err: err}
			return
		}
		client.response <- readTestResponse(resp)
	}()
	return client
}
