package tcp

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"sagelever/internal/delivery"
)

// lingerInterval is the interval at which a connection that was closed here checks what its peer does.
const lingerInterval = 20 * time.Millisecond

// peerObserver waits for what the peer of a connection does after a response. It delivers one observation.
type peerObserver struct {
	result  chan delivery.Observation
	timeout *time.Timer
}

// ObservePeer returns a channel that delivers what the peer of a connection does from now on, at the latest at the time
// until. If the connection is closed here meanwhile, its reading half stays open until then. ObservePeer returns nil for
// connections that no ArrivalListener has accepted.
func ObservePeer(conn net.Conn, until time.Time) <-chan delivery.Observation {
	observable, ok := conn.(interface {
		ObservePeer(until time.Time) <-chan delivery.Observation
	})
	if !ok {
		return nil
	}
	return observable.ObservePeer(until)
}

// ObservePeer is like the function ObservePeer. An observation in progress ends, as the peer has sent another request.
func (c *ArrivalConn) ObservePeer(until time.Time) <-chan delivery.Observation {
	c.report(delivery.Observation{Action: delivery.Reused, At: time.Now()})
	observer := &peerObserver{result: make(chan delivery.Observation, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observer = observer
	observer.timeout = time.AfterFunc(time.Until(until), c.reportSilence)
	return observer.result
}

// report ends an observation, if one is in progress.
func (c *ArrivalConn) report(seen delivery.Observation) {
	c.mu.Lock()
	observer := c.observer
	c.observer = nil
	c.mu.Unlock()
	if observer == nil {
		return
	}
	observer.timeout.Stop()
	observer.result <- seen
}

// reportSilence ends an observation after its time. The process may have been suspended meanwhile, so the peer may have
// closed the connection at any time.
func (c *ArrivalConn) reportSilence() {
	seen := delivery.Observation{Action: delivery.KeptOpen, At: time.Now()}
	switch {
	case PeerClosed(c.TCPConn):
		seen.Action = delivery.Closed
	case unconfirmedBytes(c.TCPConn) != 0:
		seen.Unconfirmed = true
	}
	c.report(seen)
}

// reportRead ends an observation if the result of a read shows what the peer does. err is the error of the system call.
func (c *ArrivalConn) reportRead(count int, err error) {
	action := delivery.Reused
	switch {
	case err != nil:
		action = delivery.Reset
	case count == 0:
		action = delivery.Closed
	}
	c.report(delivery.Observation{Action: action, At: time.Now()})
}

// observing reports whether an observation is in progress.
func (c *ArrivalConn) observing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.observer != nil
}

// linger closes the writing half of the connection, and the rest once the observation in progress has ended.
func (c *ArrivalConn) linger() {
	defer func() { _ = c.TCPConn.Close() }() // nothing more is sent or read
	if err := c.CloseWrite(); err != nil {
		c.reportRead(0, err)
		return
	}
	for buffer := make([]byte, 1); c.observing(); time.Sleep(lingerInterval) {
		var count int
		var readErr error
		err := c.socket.Control(func(descriptor uintptr) { count, readErr = c.tryRead(int(descriptor), buffer) })
		if err != nil {
			return
		}
		if readErr != unix.EAGAIN {
			c.reportRead(count, readErr)
		}
	}
}

// unconfirmedBytes returns the number of bytes that the host of the peer has not confirmed to have received, or 0 if this is
// not known.
func unconfirmedBytes(conn net.Conn) (count int) {
	withDescriptor(conn, func(descriptor int) {
		queued, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		if err == nil {
			count = queued
		}
	})
	return count
}
