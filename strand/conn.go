package strand

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Terms are what holds for the connections of one agent.
type Terms struct {
	Longest int64         // bytes that one answer may have
	Rest    time.Duration // for which a connection rests behind an answer, as what is written right behind it takes a moment
	Closed  func()        // called once for each connection that closes; may be nil
}

// Conn is a connection to an appliance that hands http.Transport the answers to its requests and nothing else. A
// Transport keeps a connection for the next request before it looks at what stands behind an answer, and would take
// that for the next one's. So the Conn reads each head itself, to know where its answer ends.
type Conn struct {
	*net.TCPConn
	terms   *Terms
	by      atomic.Pointer[Use] // the send that has it
	closed  atomic.Bool
	useless atomic.Bool  // no request may be written on it any more
	rested  atomic.Int64 // when its last answer ended, in Unix nanoseconds

	// The rest belongs to the one goroutine that reads.
	in    *bufio.Reader
	heads []byte // read, and not yet handed on
	left  int64  // of the answer's body, not yet read
	ahead int    // bytes of answers in front of the one that counts
}

// Use is one send's use of a connection.
type Use struct {
	Pass     func(write func()) bool    // what has to be asked before anything is written; nil: nothing
	Ours     func(http.Header) bool     // whether an answer is to this send; others are passed over. nil: all are
	Refuse   func(*http.Response) error // why an answer in its place may not be believed, by its head; nil: all may
	Whole    func() bool                // whether the request has been written whole; nil: it has, once it is answered
	bodiless bool                       // no answer to it has a body, whatever its head says; set before anything is written
	wrote    atomic.Bool                // anything has been written for it
	began    atomic.Bool                // something has come for it
	answered atomic.Bool                // its answer has been read whole
}

// Wrote tells whether anything was written for the send.
func (u *Use) Wrote() bool { return u.wrote.Load() }

// Began tells whether something has come for the send.
func (u *Use) Began() bool { return u.began.Load() }

const (
	toTheEnd  = -1       // the body ends where the connection does, or says itself where
	MostHeads = 16 << 10 // bytes of one answer's head and what comes in front of it; the protocol's take some hundred bytes
)

var (
	errUnasked = errors.New("the appliance has written what nobody asked for")
	errUseless = errors.New("the connection is of no use any more")

	// ErrSpoilt says that what has come is no answer, or may not be the whole one.
	ErrSpoilt = errors.New("the answer cannot be read")
)

// NewConn takes over a connection.
func NewConn(c *net.TCPConn, t *Terms) *Conn {
	return &Conn{TCPConn: c, terms: t, in: bufio.NewReader(c)}
}

// UsedBy tells whether the connection is still that send's.
func (w *Conn) UsedBy(u *Use) bool { return w.by.Load() == u }

// Take gives the connection to a send. What an appliance writes right behind an answer may still be on its way when
// the next send takes the connection, and would pass for its answer: so a connection rests for a moment, and is looked
// at before anything is written.
func (w *Conn) Take(u *Use) {
	time.Sleep(time.Until(time.Unix(0, w.rested.Load()).Add(w.terms.Rest)))
	if w.by.Swap(u) != nil && waits(w.TCPConn) {
		w.useless.Store(true)
	}
}

func (w *Conn) Write(p []byte) (n int, err error) {
	u := w.by.Load()
	if u == nil || w.useless.Load() && !u.wrote.Load() { // a request that is begun is written on: only the next may not be
		return 0, errUseless
	}
	write := func() {
		if w.closed.Load() { // nothing is written any more, so that none may say that something was
			n, err = 0, errUseless
			return
		}
		if !u.wrote.Load() {
			u.bodiless = bytes.HasPrefix(p, []byte(http.MethodHead+" "))
			u.wrote.Store(true)
		}
		n, err = w.TCPConn.Write(p)
	}
	if u.Pass == nil {
		write()
	} else if !u.Pass(write) {
		w.useless.Store(true)
		return 0, errUseless
	}
	return n, err
}

// Read hands on what belongs to the answer that is awaited.
func (w *Conn) Read(p []byte) (n int, err error) {
	switch {
	case len(w.heads) > 0:
	case w.left == toTheEnd:
		n, err = w.in.Read(p)
	case w.left == 0:
		err = w.readHead()
	default:
		n, err = w.in.Read(p[:min(int64(len(p)), w.left)])
		if w.left -= int64(n); w.left == 0 && err == nil {
			err = w.end()
		}
	}
	if err != nil {
		w.useless.Store(true)
		return 0, err
	}
	if n == 0 {
		n = copy(p, w.heads)
		w.heads = w.heads[n:]
	}
	return n, nil
}

// readHead reads the next head. What cannot be read spoils the answer; what comes while none is awaited, the
// connection.
func (w *Conn) readHead() error {
	if _, err := w.in.Peek(1); err != nil {
		return err
	}
	u := w.by.Load()
	if u == nil || !u.wrote.Load() || u.answered.Load() {
		return errUnasked
	}
	u.began.Store(true)
	spoilt := func(err error) error { return fmt.Errorf("%w: %w", ErrSpoilt, err) }
	var head []byte
	for blank := false; !blank; {
		line, err := w.in.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return err
		}
		if head = append(head, line...); len(head)+w.ahead > MostHeads {
			return spoilt(errors.New("its head is too long"))
		}
		blank = len(bytes.TrimRight(line, "\r\n")) == 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	switch {
	case err != nil:
		return spoilt(err)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return spoilt(errors.New("it changes the protocol"))
	case resp.StatusCode < 200:
		w.heads, w.ahead = head, w.ahead+len(head)
		return nil
	case u.Ours != nil && !u.Ours(resp.Header):
		return w.passOver(resp)
	case resp.ContentLength > w.terms.Longest:
		return spoilt(errors.New("it is too long"))
	}
	if u.Refuse != nil {
		if err := u.Refuse(resp); err != nil {
			return spoilt(err)
		}
	}
	w.heads, w.ahead, w.left = head, 0, resp.ContentLength
	if u.bodiless {
		w.left = 0
	}
	if w.left < 0 {
		w.left = toTheEnd
		w.useless.Store(true) // where it ends is not for us to see: it is the last here
	}
	if w.left == 0 {
		return w.end()
	}
	return nil
}

// passOver reads an answer to an earlier request, which has come late in the place of the awaited one, and goes on to the
// next head. What is not known to end can't be passed over.
func (w *Conn) passOver(resp *http.Response) error {
	if resp.ContentLength < 0 || resp.ContentLength > w.terms.Longest {
		return fmt.Errorf("%w: another answer stands in its place", ErrSpoilt)
	}
	w.useless.Store(true) // for requests after this one
	if _, err := io.CopyN(io.Discard, w.in, resp.ContentLength); err != nil {
		return err
	}
	return w.readHead()
}

// end looks behind an answer before its last bytes are handed on. Where another head begins there, the answer was
// whole and only the connection is of no further use. Anything else may be the rest of an answer whose length is too
// short, and noise looks the same: to serve it might be to serve half.
func (w *Conn) end() error {
	u := w.by.Load()
	if u.Whole != nil && !u.Whole() {
		w.useless.Store(true) // what is made of the rest of the request is not for us to see
	}
	if w.in.Buffered() > 0 || waits(w.TCPConn) {
		w.useless.Store(true)
		w.in.Peek(1) // does not wait: there is something, or the connection's end
		behind, _ := w.in.Peek(min(w.in.Buffered(), len(start)))
		if len(behind) > 0 && string(behind) != start {
			return ErrSpoilt
		}
	}
	u.answered.Store(true)
	w.rested.Store(time.Now().UnixNano())
	return nil
}

const start = "HTTP/1." // of every answer

func (w *Conn) Close() error {
	if !w.closed.Swap(true) && w.terms.Closed != nil {
		w.terms.Closed()
	}
	return w.TCPConn.Close()
}

// CarryBody gives a request a body that cannot be rewound, an empty one too: http.Transport resends by itself what
// has no body or a body that can be had again, and every resend is a send that nobody has decided.
func CarryBody(req *http.Request, body []byte) {
	req.Body, req.GetBody, req.ContentLength = io.NopCloser(bytes.NewReader(body)), nil, int64(len(body))
	if len(body) == 0 {
		req.TransferEncoding = []string{"identity"} // else it would be sent in chunks
	}
}
