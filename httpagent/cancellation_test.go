package httpagent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
	"sagelever/internal/upstream"
)

// A response that was in transit when the attempt was given up is still read; without one the attempt counts as given
// up.
func TestCancellation(t *testing.T) {
	for _, x := range []struct {
		answer string
		cause  error
		want   api.Outcome
	}{{fine, transaction.ErrCanceled, api.Succeeded}, {"", transaction.ErrCanceled, api.Canceled}, {"",
		transaction.ErrTimedOut, api.TimedOut}} {
		off, giveUp := context.WithCancelCause(context.Background())
		l := clientFor(startBackend(t, func(c *net.TCPConn, r *http.Request) {
			giveUp(x.cause)
			waitForClose(c) // until the other side closes its writing half
			write(c, x.answer)
			hangUp(c)
		}))
		if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != x.want {
			t.Errorf("%v: outcome %v after %v", x, outcomeOf(got, err), err)
		}
	}
	off, giveUp := context.WithCancelCause(context.Background())
	giveUp(transaction.ErrCanceled)
	l := clientFor(startBackend(t, func(c *net.TCPConn,
		r *http.Request) {
		t.Error("what was canceled before it began arrives")
	}))
	if got, err := l.do(off, newBackendRequest(l, "GET"), nil); outcomeOf(got, err) != api.NotSent && outcomeOf(got,
		err) != api.Canceled {
		t.Errorf("canceled at once: outcome %v after %v", outcomeOf(got, err), err)
	}
}

// An attempt that has been canceled before its connection is there writes nothing, on a kept connection or a new one:
// its transaction may have its final answer.
func TestCanceledBeforeWrite(t *testing.T) {
	var came atomic.Int64
	at := startBackend(t, func(c *net.TCPConn, r *http.Request) {
		came.Add(1)
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	// more than are dialed: some close late on a busy machine
	ls := newBackendClients(time.Second, time.Minute, 1<<10, 32<<20)
	l := &backendClient{address: at, transport: ls.newTransport(), pool: ls}
	send := func(off context.Context) api.Outcome {
		req, _ := http.NewRequest("GET", "http://"+at+"/x", nil)
		return outcomeOf(l.do(off, req, nil))
	}
	off, callOff := context.WithCancelCause(context.Background())
	callOff(transaction.ErrCanceled)
	for range 200 {
		if got := send(off); got != api.NotSent {
			t.Fatalf("outcome %v", got)
		}
	}
	if n := came.Load(); n != 0 {
		t.Errorf("%d requests on new connections", n)
	}
	for range 50 {
		if got := send(context.Background()); got != api.Succeeded {
			t.Fatalf("outcome %v", got)
		}
		time.Sleep(2 * readSettleTime) // so that the next one finds it kept; no assertion depends on it
		send(off)
	}
	if n := came.Load(); n != 50 {
		t.Errorf("%d requests came, want 50", n)
	}
}

// An attempt that is canceled between getting its connection and its write writes nothing: the transaction has its
// final answer by then.
func TestNoWriteAfterCancel(t *testing.T) {
	came := make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, c)
		came <- int(n)
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	off, callOff := context.WithCancel(context.Background())
	w, u := upstream.NewConn(c.(*net.TCPConn), newBackendClients(time.Second, time.Minute, 8,
		32<<20).connOptions), &upstream.Exchange{WriteGate: transaction.WriteGuardFrom(off).Do}
	w.Assign(u)
	if n, err := w.Write([]byte("one")); n != 3 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	callOff()
	if n, err := w.Write([]byte("two")); n != 0 || err == nil {
		t.Errorf("%d bytes written after it was given up, %v", n, err)
	}
	hangUp(w)
	if n := <-came; n != 3 {
		t.Errorf("%d bytes came, want 3", n)
	}
}
