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

// A response that is in transit when the attempt is canceled is still read. Without a response, the outcome is that of
// the cancellation.
func TestCancellation(t *testing.T) {
	for _, test := range []struct {
		responseText string
		cause        error
		want         api.Outcome
	}{
		{okResponse, transaction.ErrCanceled, api.Succeeded},
		{"", transaction.ErrCanceled, api.Canceled},
		{"", transaction.ErrTimedOut, api.TimedOut},
	} {
		ctx, cancel := context.WithCancelCause(context.Background())
		client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
			cancel(test.cause)
			waitForClose(conn) // until the agent closes its writing half
			write(conn, test.responseText)
			hangUp(conn)
		}))
		if response, err := client.do(ctx, newBackendRequest(client, "GET"), nil); outcomeOf(response, err) != test.want {
			t.Errorf("%v: outcome %v after %v", test, outcomeOf(response, err), err)
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(transaction.ErrCanceled)
	client := newTestClient(startBackend(t, func(conn *net.TCPConn, req *http.Request) {
		t.Error("a request that was canceled before it was sent arrived")
	}))
	if response, err := client.do(ctx, newBackendRequest(client, "GET"), nil); outcomeOf(response, err) != api.NotSent &&
		outcomeOf(response, err) != api.Canceled {
		t.Errorf("canceled before the start: outcome %v after %v", outcomeOf(response, err), err)
	}
}

// An attempt that is canceled before it gets its connection writes nothing, on a reused connection or a new one, as its
// transaction may already have its final answer.
func TestCanceledBeforeWrite(t *testing.T) {
	var arrived atomic.Int64
	backendAddr := startBackend(t, func(conn *net.TCPConn, r *http.Request) {
		arrived.Add(1)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	// The limit is above the number of dials, as some connections close late on a busy machine.
	clients := newBackendClients(time.Second, time.Minute, 1<<10, 32<<20)
	client := &backendClient{address: backendAddr, transport: clients.newTransport(), pool: clients}
	send := func(ctx context.Context) api.Outcome {
		req, _ := http.NewRequest("GET", "http://"+backendAddr+"/x", nil)
		return outcomeOf(client.do(ctx, req, nil))
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(transaction.ErrCanceled)
	for range 200 {
		if got := send(ctx); got != api.NotSent {
			t.Fatalf("outcome %v", got)
		}
	}
	if n := arrived.Load(); n != 0 {
		t.Errorf("%d requests arrived on new connections", n)
	}
	for range 50 {
		if got := send(context.Background()); got != api.Succeeded {
			t.Fatalf("outcome %v", got)
		}
		time.Sleep(2 * readSettleTime) // so that the next attempt reuses the connection; no assertion depends on it
		send(ctx)
	}
	if n := arrived.Load(); n != 50 {
		t.Errorf("%d requests arrived, want 50", n)
	}
}

// An attempt that is canceled after it got its connection and before its write writes nothing, as the transaction has
// its final answer by then.
func TestNoWriteAfterCancel(t *testing.T) {
	received := make(chan int, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, conn)
		received <- int(n)
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	backendConn, use := upstream.NewConn(conn.(*net.TCPConn),
		newBackendClients(time.Second, time.Minute, 8, 32<<20).connOptions,
	), &upstream.Exchange{WriteGate: transaction.WriteGuardFrom(ctx).Do}
	backendConn.Assign(use)
	if n, err := backendConn.Write([]byte("one")); n != 3 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	cancel()
	if n, err := backendConn.Write([]byte("two")); n != 0 || err == nil {
		t.Errorf("%d bytes written after the cancellation, %v", n, err)
	}
	hangUp(backendConn)
	if n := <-received; n != 3 {
		t.Errorf("%d bytes arrived, want 3", n)
	}
}
