package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silentNode accepts connections and never responds. It counts the open connections.
type silentNode struct {
	listener net.Listener
	open     atomic.Int64
	peak     atomic.Int64 // highest value of open so far
}

func startSilentNode(t *testing.T) *silentNode {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &silentNode{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go node.readUntilClosed(conn)
		}
	}()
	return node
}

// readUntilClosed reads from a connection until the client closes it.
func (n *silentNode) readUntilClosed(conn net.Conn) {
	defer conn.Close()
	open := n.open.Add(1)
	for peak := n.peak.Load(); open > peak && !n.peak.CompareAndSwap(peak, open); peak = n.peak.Load() {
	}
	_, _ = io.Copy(io.Discard, conn) // returns when the client closes the connection
	n.open.Add(-1)
}

// Any number of calls to a node that accepts connections and never responds uses a bounded number of connections, and
// none is left open after the calls have ended.
func TestConnectionsToSilentNodeAreBounded(t *testing.T) {
	const callers, callsEach, callTimeout = 200, 5, 100 * time.Millisecond
	node := startSilentNode(t)
	client := NewClient(nil)
	t.Cleanup(client.CloseIdleConnections)
	var calls sync.WaitGroup
	for range callers {
		calls.Go(func() {
			for range callsEach {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				if err := Post(ctx, client, node.listener.Addr().String(), "/call", []byte(`""`), nil); err == nil {
					t.Error("a call was answered")
				}
				cancel()
			}
		})
	}
	calls.Wait()
	client.CloseIdleConnections()
	// The node may still count a connection that the client has closed when the next one arrives, hence the factor 2.
	if peak := node.peak.Load(); peak == 0 || peak > 2*maxConnsPerHost {
		t.Errorf("%d connections were open at once, want some and at most %d", peak, 2*maxConnsPerHost)
	}
	for deadline := time.Now().Add(5 * time.Second); node.open.Load() > 0; {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are still open", node.open.Load())
		}
		time.Sleep(time.Millisecond)
	}
}
