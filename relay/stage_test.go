package relay

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

	"sagelever/verdict"
)

// Sizes of what the rows send. Buffers on the way to the stage are small, so that what is written stops in the midst.
const (
	smallBuffer = 1 << 11
	bigHead     = 300 << 10
	bigBody     = 900 << 10
	longBody    = largest + 300<<10
)

// bodies of answers, by the phase in which the answer is held up.
func bodyFor(p verdict.Phase) string {
	switch p {
	case verdict.BodyReading:
		return strings.Repeat("body ", 200)
	case verdict.Streaming:
		return strings.Repeat("long body ", longBody/10)
	}
	return "yes"
}

// text writes an answer to a try.
func text(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), strings.Join(headers, "\r\n"), len(body), body)
}

const (
	mine   = tryID + ": t1"
	others = tryID + ": t0"
	sealed = stamp + ": seal"
	unran  = notRun + ": 1"
)

// answerFor is what the appliance writes for an event, and the status that a caller gets where it is passed on.
func answerFor(e verdict.Event, body string) (answer string, status int) {
	switch e {
	case verdict.Failed:
		return text(500, body, mine), 500
	case verdict.NotRun:
		return text(503, body, mine, unran), 0
	case verdict.Misdirected:
		return text(421, body, mine), 0
	case verdict.Rejected:
		return text(400, body, mine, unran), 400
	case verdict.Unproven:
		return text(503, body, mine), 0
	case verdict.Foreign:
		return text(200, "no", others, sealed), 0
	case verdict.Unnamed:
		return text(503, "no", unran), 0
	case verdict.Unsealed:
		return text(200, body, mine), 0
	case verdict.Spoilt:
		return "what is this\r\n\r\n", 0
	}
	return text(200, body, mine, sealed), 200
}

// stage is an appliance at which a row is played: it does nothing by itself on the first connection with the row's try, and
// serves all others.
type stage struct {
	l      net.Listener
	conns  chan *link // those on which the row's try came, or nothing yet
	holds  atomic.Bool
	mu     sync.Mutex
	ran    map[string]int // requests by try
	onConn map[string]int // the connection on which a try came
	opened int
}

// link is one connection to the stage.
type link struct {
	*net.TCPConn
	number int
	in     *bufio.Reader
	closed chan struct{} // once the relay has closed it
}

func newStage(t *testing.T) *stage {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer) })
	}}
	l, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &stage{l: l, conns: make(chan *link, 100), ran: map[string]int{}, onConn: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.opened++
			k := &link{TCPConn: c.(*net.TCPConn), number: s.opened, in: bufio.NewReader(c), closed: make(chan struct{})}
			t.Cleanup(func() { c.Close() })
			if s.holds.Load() {
				s.conns <- k
			} else {
				go s.serve(k)
			}
		}
	}()
	return s
}

// take reads one request whole and notes it.
func (s *stage) take(k *link) (id string, err error) {
	req, err := http.ReadRequest(k.in)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", err
	}
	id = req.Header.Get(tryID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
	s.onConn[id] = k.number
	return id, nil
}

// serve answers all that comes on a connection until it ends.
func (s *stage) serve(k *link) {
	for {
		id, err := s.take(k)
		if err != nil {
			close(k.closed)
			return
		}
		io.WriteString(k, text(200, "yes", tryID+": "+id, sealed))
	}
}

// caller is a client on a connection of its own.
type caller struct {
	net.Conn
	got chan reply
}

type reply struct {
	status int
	body   string
	head   http.Header
	err    error
}

// call sends a request as a client and reads the answer meanwhile.
func (x *set) call(t *testing.T, id, path, leave string, head, body int) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", x.front)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	k := &caller{Conn: c, got: make(chan reply, 1)}
	go func() {
		fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\nX-More: %s\r\nContent-Length: %d\r\n\r\n%s", path, tryID, id, timeLeft,
			leave, strings.Repeat("m", head), body, strings.Repeat("b", body))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			k.got <- reply{err: err}
			return
		}
		b, err := io.ReadAll(resp.Body)
		k.got <- reply{resp.StatusCode, string(b), resp.Header, err}
	}()
	return k
}
