package httpagent

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sagelever/life"
)

// wire is a connection to an appliance that hands http.Transport the answers to its requests and nothing else. A
// Transport keeps a connection for the next request before it looks at what stands behind an answer, and would take
// that for the next one's. So the wire reads each head itself, to know where its answer ends.
type wire struct {
	*net.TCPConn
	links   *links
	by      atomic.Pointer[use] // the send that has it
	closed  atomic.Bool
	useless atomic.Bool  // no request may be written on it any more
	rested  atomic.Int64 // when its last answer ended, in Unix nanoseconds

	// The rest belongs to the one goroutine that reads.
	in    *bufio.Reader
	heads []byte // read, and not yet handed on
	left  int64  // of the answer's body, not yet read
	ahead int    // bytes of answers in front of the one that counts
}

// use is one send's use of a connection.
type use struct {
	gate     *life.Gate
	wrote    atomic.Bool // anything has been written for it
	began    atomic.Bool // something has come for it
	answered atomic.Bool // its answer has been read whole
}

const (
	toTheEnd  = -1       // the body ends where the connection does, or says itself where
	mostHeads = 16 << 10 // of one answer and what comes in front of it; the protocol's take some hundred bytes
)

// settlement is some times what a network of one site takes from one machine to the next.
const settlement = time.Millisecond

var (
	errUnasked = errors.New("the appliance has written what nobody asked for")
	errUseless = errors.New("the connection is of no use any more")
)

func newWire(c *net.TCPConn, ls *links) *wire {
	return &wire{TCPConn: c, links: ls, in: bufio.NewReader(c)}
}

// take gives the connection to a send. What an appliance writes right behind an answer may still be on its way when
// the next send takes the connection, and would pass for its answer: so a connection rests for a moment, and is looked
// at before anything is written.
func (w *wire) take(u *use) {
	time.Sleep(time.Until(time.Unix(0, w.rested.Load()).Add(settlement)))
	if w.by.Swap(u) != nil && waits(w.TCPConn) {
		w.useless.Store(true)
	}
}

func (w *wire) Write(p []byte) (n int, err error) {
	u := w.by.Load()
	if u == nil || w.useless.Load() {
		return 0, errUseless
	}
	if !u.gate.Pass(func() {
		u.wrote.Store(true)
		n, err = w.TCPConn.Write(p)
	}) {
		w.useless.Store(true)
		return 0, errUseless
	}
	return n, err
}

// Read hands on what belongs to the answer that is awaited.
func (w *wire) Read(p []byte) (n int, err error) {
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
func (w *wire) readHead() error {
	if _, err := w.in.Peek(1); err != nil {
		return err
	}
	u := w.by.Load()
	if u == nil || !u.wrote.Load() || u.answered.Load() {
		return errUnasked
	}
	u.began.Store(true)
	spoilt := func(err error) error { return fmt.Errorf("%w: %w", errSpoilt, err) }
	var head []byte
	for blank := false; !blank; {
		line, err := w.in.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return err
		}
		if head = append(head, line...); len(head)+w.ahead > mostHeads {
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
	case resp.ContentLength > w.links.longest:
		return spoilt(errors.New("it is too long"))
	}
	w.heads, w.ahead, w.left = head, 0, resp.ContentLength
	if resp.ContentLength < 0 {
		w.left = toTheEnd
		w.useless.Store(true) // where it ends is not for us to see: it is the last here
	}
	if w.left == 0 {
		return w.end()
	}
	return nil
}

// end looks behind an answer before its last bytes are handed on. Where another head begins there, the answer was
// whole and only the connection is of no further use. Anything else may be the rest of an answer whose length is too
// short, and noise looks the same: to serve it might be to serve half.
func (w *wire) end() error {
	u := w.by.Load()
	if w.in.Buffered() > 0 || waits(w.TCPConn) {
		w.useless.Store(true)
		w.in.Peek(1) // does not wait: there is something, or the connection's end
		behind, _ := w.in.Peek(min(w.in.Buffered(), len(start)))
		if len(behind) > 0 && string(behind) != start {
			return errSpoilt
		}
	}
	u.answered.Store(true)
	w.rested.Store(time.Now().UnixNano())
	return nil
}

const start = "HTTP/1." // of every answer

func (w *wire) Close() error {
	if !w.closed.Swap(true) {
		w.links.open.Add(-1)
	}
	return w.TCPConn.Close()
}
