package tcp

import (
	"io"
	"net"
	"testing"
	"time"

	"sagelever/internal/delivery"
)

// observationTime is how long the tests observe a peer.
const observationTime = 300 * time.Millisecond

// exchange is a request that was answered, and the observation of its caller.
type exchange struct {
	*arrivalPair
	caller   *net.TCPConn
	accepted *ArrivalConn
	observed <-chan delivery.Observation
}

func newExchange(t *testing.T) *exchange {
	t.Helper()
	pair := newArrivalPair(t)
	caller := pair.dial().(*net.TCPConn)
	accepted := pair.accept()
	pair.read(accepted)
	if _, err := accepted.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.Read(make([]byte, 100)); err != nil { // closing a connection with unread data resets it
		t.Fatal(err)
	}
	return &exchange{pair, caller, accepted, ObservePeer(accepted, time.Now().Add(observationTime))}
}

// wantObserved checks what is observed while the server waits for the next request.
func (e *exchange) wantObserved(want delivery.Action) delivery.Observation {
	e.t.Helper()
	select {
	case seen := <-e.observed:
		if seen.Action != want {
			e.t.Errorf("the peer counts as %v, want %v", seen.Action, want)
		}
		return seen
	case <-time.After(5 * observationTime):
		e.t.Fatal("nothing is observed")
	}
	return delivery.Observation{}
}

// What the peer does is observed while the server waits for the next request, and after the server has closed the
// connection, which does not hide it.
func TestObservePeer(t *testing.T) {
	t.Parallel()
	for _, closesFirst := range []bool{false, true} {
		for _, tt := range []struct {
			act  func(e *exchange)
			want delivery.Action
		}{
			{func(*exchange) {}, delivery.KeptOpen},
			{func(e *exchange) { e.send(e.caller) }, delivery.Reused},
			{func(e *exchange) { _ = e.caller.Close() }, delivery.Closed},
			{func(e *exchange) {
				_ = e.caller.SetLinger(0) // makes Close reset the connection
				_ = e.caller.Close()
			}, delivery.Reset},
		} {
			e := newExchange(t)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = e.accepted.Read(make([]byte, 100)) // what it returns is observed
			}()
			if closesFirst {
				_ = e.accepted.Close()
				_ = e.accepted.Close()
				select {
				case <-ended:
				case <-time.After(observationTime / 2):
					t.Error("a read does not end with the connection")
				}
			}
			tt.act(e)
			seen := e.wantObserved(tt.want)
			if seen.Unconfirmed {
				t.Errorf("%v: the bytes count as unconfirmed", tt.want)
			}
		}
	}
}

// A connection that was closed here ends for its peer at once, and is released when the observation has ended.
func TestCloseDuringObservation(t *testing.T) {
	t.Parallel()
	e := newExchange(t)
	_ = e.accepted.Close()
	if _, err := e.caller.Read(make([]byte, 100)); err != io.EOF {
		t.Errorf("the peer reads %v, want the end of the connection", err)
	}
	e.wantObserved(delivery.KeptOpen)
	if !eventually(func() bool { return e.accepted.SetDeadline(time.Time{}) != nil }) {
		t.Error("the connection is not released")
	}
}

// A peer that closed the connection while nothing read it is not taken for one that keeps it open.
func TestObservePeerWithoutReader(t *testing.T) {
	t.Parallel()
	e := newExchange(t)
	_ = e.caller.Close()
	e.wantObserved(delivery.Closed)
	if ObservePeer(e.caller, time.Now()) != nil {
		t.Error("a connection that no ArrivalListener has accepted is observed")
	}
}

// The observation of one request ends when that of the next one on the connection begins, also if both requests were read at
// once.
func TestObservePeerAgain(t *testing.T) {
	t.Parallel()
	e := newExchange(t)
	next := ObservePeer(e.accepted, time.Now().Add(observationTime))
	e.wantObserved(delivery.Reused)
	e.observed = next
	e.wantObserved(delivery.KeptOpen)
}
