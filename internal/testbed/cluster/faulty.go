package cluster

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// responseFault is what a faulty backend does with one request instead of answering it in order.
type responseFault int

const (
	noFault          responseFault = iota
	refuseEarly                    // states a refusal before it has read the body
	refuseLate                     // states a refusal after a while, as if the request had waited in its queue
	refuseAfterRun                 // executes the request, and answers 503 without the statement that it was not executed
	loseResponse                   // executes the request and closes the connection
	resetBeforeRun                 // resets the connection, and drops the request
	resetAfterRun                  // executes the request and resets the connection
	truncateResponse               // executes the request and closes the connection in the middle of the response
	repeatResponse                 // writes the previous response of the connection in front of the response
	repeatRefusal                  // states a refusal twice, the second time in front of the next response
	surplusResponse                // writes the response twice
	faultCount
)

const (
	// faultyShare is the share of the requests of a faulty backend that have a fault.
	faultyShare = 0.5

	maxLateRefusal = 150 * time.Millisecond
)

// SetFaulty makes the backend handle a share of its requests with a random fault for a duration.
func (b *Backend) SetFaulty(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultyUntil = time.Now().Add(duration)
}

// SetFrozen makes the backend process no requests for a duration, as if its process were suspended. Afterwards it
// executes all that it has received, also for callers that have left.
func (b *Backend) SetFrozen(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frozenUntil = time.Now().Add(duration)
}

// renewalOverlap is how long two incarnations at one address both execute requests.
const renewalOverlap = 300 * time.Millisecond

// Renew begins another incarnation of the backend with the same address and the same connections. Requests to the
// previous one are misdirected after renewalOverlap.
func (b *Backend) Renew() {
	b.mu.Lock()
	b.renewals++
	b.heartbeats = 0
	b.overlapUntil = time.Now().Add(renewalOverlap)
	b.mu.Unlock()
	b.sendHeartbeat()
}

// incarnation returns the id of the current incarnation.
func (b *Backend) incarnation() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnationAfter(b.renewals)
}

// incarnationAfter returns the id of the incarnation after a number of renewals.
func (b *Backend) incarnationAfter(renewals int) string {
	if renewals == 0 {
		return b.ID
	}
	return fmt.Sprint(b.ID, "-", renewals)
}

// accepts reports whether the backend executes requests that are meant for an incarnation.
func (b *Backend) accepts(target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if target == b.incarnationAfter(b.renewals) {
		return true
	}
	return b.renewals > 0 && target == b.incarnationAfter(b.renewals-1) && time.Now().Before(b.overlapUntil)
}

// faulty reports whether requests have faults now.
func (b *Backend) faulty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.faultyUntil)
}

// waitUntilThawed waits while the backend is frozen, and reports whether it was.
func (b *Backend) waitUntilThawed() (wasFrozen bool) {
	for {
		b.mu.Lock()
		left := time.Until(b.frozenUntil)
		b.mu.Unlock()
		if left <= 0 {
			return wasFrozen
		}
		wasFrozen = true
		time.Sleep(left)
	}
}

// drawResponseFault returns the fault of the next request, or noFault.
func (b *Backend) drawResponseFault() responseFault {
	if !b.faulty() || b.random() >= faultyShare {
		return noFault
	}
	return 1 + responseFault(b.random()*float64(faultCount-1))
}

// faultyConn is a connection whose requests a backend handles without net/http, so that it can violate the protocol.
type faultyConn struct {
	net.Conn
	backend  *Backend
	reader   *bufio.Reader
	previous []byte // the previous response
	pending  []byte // written in front of the next response
}

// takeOver takes a connection from net/http after its current request was read, and handles that request and all later
// ones. The caller must not use the ResponseWriter afterwards.
func (b *Backend) takeOver(w http.ResponseWriter, request *http.Request, body []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed
	}
	defer conn.Close()
	b.trackTaken(conn, true)
	defer b.trackTaken(conn, false)
	faulty := &faultyConn{Conn: conn, backend: b, reader: buffered.Reader}
	request.Body = io.NopCloser(bytes.NewReader(body))
	for faulty.serve(request) {
		if request, err = http.ReadRequest(faulty.reader); err != nil {
			return
		}
		request.RemoteAddr = conn.RemoteAddr().String()
	}
}

// trackTaken adds or removes a connection that Kill must close itself.
func (b *Backend) trackTaken(conn net.Conn, open bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open {
		b.taken[conn] = struct{}{}
	} else {
		delete(b.taken, conn)
	}
}

// closeTaken closes all connections that were taken from net/http.
func (b *Backend) closeTaken() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.taken {
		_ = conn.Close() // fails if the connection has ended
	}
}

// serve handles a request and reports whether the connection may carry another one.
func (c *faultyConn) serve(request *http.Request) (keep bool) {
	b := c.backend
	b.waitUntilThawed()
	attempt := request.Header.Get(headerAttemptID)
	if request.URL.Path == "/health" {
		_, _ = io.Copy(io.Discard, request.Body) // health checks have no body
		return c.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerBackendID, b.incarnation()))
	}
	fault := b.drawResponseFault()
	if fault == refuseEarly {
		b.recordArrival(request, "refused early")
		if !c.write(refusal(attempt, http.StatusServiceUnavailable)) {
			return false
		}
		_, err := io.Copy(io.Discard, request.Body)
		return err == nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	if !b.accepts(request.Header.Get(headerTargetBackend)) {
		b.recordArrival(request, "misdirected")
		return c.refuse(attempt, http.StatusMisdirectedRequest, fault)
	}
	if fault == refuseLate || fault == repeatRefusal {
		time.Sleep(time.Duration(b.random() * float64(maxLateRefusal)))
		b.recordArrival(request, "refused")
		return c.refuse(attempt, http.StatusServiceUnavailable, fault)
	}
	if fault == resetBeforeRun {
		b.recordArrival(request, "dropped, reset")
		c.reset()
		return false
	}
	return c.execute(request, body, fault)
}

// refuse states a refusal. With a fault, a copy of it precedes the next response.
func (c *faultyConn) refuse(attempt string, status int, fault responseFault) (keep bool) {
	response := refusal(attempt, status)
	if !c.write(response) {
		return false
	}
	if fault != noFault {
		c.pending = response
	}
	return true
}

// execute executes a request, whether or not its caller has left, and responds according to the fault.
func (c *faultyConn) execute(request *http.Request, body []byte, fault responseFault) (keep bool) {
	b := c.backend
	attempt := request.Header.Get(headerAttemptID)
	timeLeft, _ := strconv.Atoi(request.Header.Get(headerTimeLeft))
	select {
	case b.slots <- struct{}{}:
	case <-time.After(time.Duration(timeLeft) * time.Millisecond):
		b.recordArrival(request, "refused, expired in the queue")
		return c.refuse(attempt, http.StatusServiceUnavailable, fault)
	}
	b.recordArrival(request, "executed")
	work := b.drawWork(false)
	time.Sleep(work)
	b.cluster.Ledger.RunCompleted(attempt, work)
	<-b.slots
	content := responseBody(attempt, len(body))
	response := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		headerAttemptID, attempt, headerBackendSeal, b.ID, len(content), content)
	switch fault {
	case refuseAfterRun:
		return c.write(fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
			headerAttemptID, attempt))
	case loseResponse:
		return false
	case resetAfterRun:
		c.reset()
		return false
	case truncateResponse:
		_, _ = c.Write(response[:len(response)-1]) // the connection ends anyway
		return false
	case repeatResponse:
		return c.write(append(bytes.Clone(c.previous), response...))
	case surplusResponse:
		return c.write(append(bytes.Clone(response), response...))
	}
	return c.write(response)
}

// write writes a response, after what is pending, and reports whether that succeeded.
func (c *faultyConn) write(response []byte) bool {
	c.previous = response
	output := append(c.pending, response...)
	c.pending = nil
	_, err := c.Write(output)
	return err == nil
}

// reset makes the connection end with a reset.
func (c *faultyConn) reset() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails if the connection has ended
	}
}

// refusal returns a response that states that an attempt was not executed.
func refusal(attempt string, status int) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), headerAttemptID, attempt, headerNotExecuted)
}

// recordArrival records the arrival of a request with the connection that it came on.
func (b *Backend) recordArrival(request *http.Request, effect string) {
	b.cluster.Ledger.RecordArrival(request.Header.Get(headerAttemptID), Arrival{
		Backend: b.incarnation(),
		Target:  request.Header.Get(headerTargetBackend),
		Caller:  request.RemoteAddr,
		Address: b.Address,
		At:      time.Now(),
		Effect:  effect,
	})
}
