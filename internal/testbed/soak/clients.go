package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sagelever/internal/testbed/cluster"
)

const (
	requestTimeout  = 2500 * time.Millisecond
	patientTimeout  = 9 * time.Second // of a patient client; longer than shutdownGrace
	minHastyTimeout = 30 * time.Millisecond
	deadlineMargin  = 150 * time.Millisecond
	dialTimeout     = time.Second
	streamedBytes   = 1300 << 10 // more than a proxy buffers for a retry
	streamChunk     = 64 << 10
	smallBytes      = 700
	clientRetry     = 50 * time.Millisecond
	maxIdlePause    = 2 * time.Second       // of an idling client, between requests
	maxAbortDelay   = 40 * time.Millisecond // after which an aborting client breaks off a request
	slowReadDelay   = 20 * time.Millisecond // before a streaming client reads a response
	changesPerTen   = 4                     // non-idempotent requests in ten
	abortOneIn      = 2                     // requests of an aborting client: one in so many is aborted
	streamOneIn     = 3                     // requests of a streaming client: one in so many has a long body
)

// clientBehavior is how a client uses its connection.
type clientBehavior int

const (
	steadyClient    clientBehavior = iota // sends requests without pauses
	idlingClient                          // pauses between requests, so that connections are idle when a proxy stops
	streamingClient                       // sends long bodies slowly and reads slowly
	abortingClient                        // aborts requests
	patientClient                         // waits longer for responses than a proxy takes to shut down
	hastyClient                           // waits only a short time for responses
	clientBehaviors                       // number of behaviors
)

// The headers of the protocol that clients send and read.
const (
	headerAttemptID = "X-Sagelever-Try-Id"
	headerTimeLeft  = "X-Sagelever-Time-Left-Ms"
	headerSeal      = "X-Sagelever-Server-Seal"
)

// requestLog collects the records of all requests. It is safe for concurrent use.
type requestLog struct {
	mu   sync.Mutex
	list []*request
}

func (l *requestLog) add(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *requestLog) all() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list
}

// soakClient sends requests over one connection at a time. When the connection ends, it looks up the proxies again.
type soakClient struct {
	run      *run
	behavior clientBehavior
	rng      *rand.Rand
	zone     string
	lastID   *atomic.Int64

	conn  net.Conn
	input *bufio.Reader
	proxy string // name of the connected proxy
}

func (c *soakClient) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			wait(ctx, clientRetry)
			continue
		}
		wait(ctx, c.sendNext())
		if c.behavior == idlingClient {
			wait(ctx, time.Duration(c.rng.Int64N(int64(maxIdlePause))))
		}
	}
}

// connect looks up the proxies and connects to one of them.
func (c *soakClient) connect(ctx context.Context) bool {
	addresses := c.run.lookUp(ctx, c.rng, c.zone)
	if len(addresses) == 0 {
		return false
	}
	address := addresses[c.rng.IntN(len(addresses))]
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false
	}
	c.conn, c.input, c.proxy = conn, bufio.NewReader(conn), c.run.proxyNames[address]
	return true
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close() // no response is awaited, so a failure has no effect
		c.conn = nil
	}
}

// sendNext sends the next request and records its outcome. It returns how long to wait before the next one.
func (c *soakClient) sendNext() (retryAfter time.Duration) {
	record := &request{
		id:            fmt.Sprint("s", c.lastID.Add(1)),
		proxy:         c.proxy,
		nonIdempotent: c.rng.IntN(10) < changesPerTen,
		sentAt:        time.Now(),
	}
	service := cluster.Services[c.rng.IntN(len(cluster.Services))]
	kind := "harmless"
	if record.nonIdempotent {
		kind = "risky"
	}
	c.run.cluster.Ledger.AttemptStarted(record.id, record.id, kind, record.nonIdempotent, record.sentAt)
	body, length := c.body()
	outgoing, _ := http.NewRequest(http.MethodPost, "http://"+service+".example"+pathOf(record)+record.id, body)
	outgoing.ContentLength = length
	outgoing.Header.Set(headerAttemptID, record.id)
	timeout := c.timeout()
	outgoing.Header.Set(headerTimeLeft, strconv.FormatInt(timeout.Milliseconds(), 10))
	deadline := record.sentAt.Add(timeout + deadlineMargin)
	if c.behavior == abortingClient && c.rng.IntN(abortOneIn) == 0 {
		deadline = record.sentAt.Add(time.Duration(c.rng.Int64N(int64(maxAbortDelay))))
		record.aborted = true
	}
	_ = c.conn.SetDeadline(deadline)
	keep, retryAfter := c.exchange(outgoing, record)
	record.endedAt = time.Now()
	record.timedOut = record.endedAt.Sub(record.sentAt) > timeout-deadlineMargin
	record.aborted = record.aborted && !record.complete
	c.run.requests.add(record)
	if !keep {
		c.disconnect()
	}
	return retryAfter
}

// timeout returns how long the client waits for a response.
func (c *soakClient) timeout() time.Duration {
	switch c.behavior {
	case patientClient:
		return patientTimeout
	case hastyClient:
		return minHastyTimeout + time.Duration(c.rng.Int64N(int64(requestTimeout-minHastyTimeout)))
	}
	return requestTimeout
}

// pathOf returns the path prefix of a request's route.
func pathOf(r *request) string {
	if r.nonIdempotent {
		return "/change/"
	}
	return "/look/"
}

// body returns the body of a request and its length, which is -1 for a chunked body.
func (c *soakClient) body() (body io.Reader, length int64) {
	if c.behavior == streamingClient && c.rng.IntN(streamOneIn) == 0 {
		return &slowBody{remaining: streamedBytes}, -1
	}
	return strings.NewReader(strings.Repeat("b", smallBytes)), smallBytes
}

// slowBody is a body of the given remaining length that delays each read.
type slowBody struct{ remaining int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(len(p), b.remaining, streamChunk)
	for i := range n {
		p[i] = 'b'
	}
	b.remaining -= n
	return n, nil
}

// exchange writes a request and reads its response. It reports whether the connection can be reused, and the delay that
// the response requests before the next one.
func (c *soakClient) exchange(outgoing *http.Request, record *request) (keep bool, retryAfter time.Duration) {
	conn := c.conn
	var writeErr error
	var writing sync.WaitGroup
	writing.Go(func() { writeErr = outgoing.Write(conn) }) // the response may arrive before a long body is sent completely
	defer func() {
		if !keep {
			c.disconnect()
			writing.Wait()
		}
	}()
	_, err := c.input.Peek(1)
	record.responseStarted = err == nil
	if err != nil {
		return false, 0
	}
	response, err := http.ReadResponse(c.input, outgoing)
	if err != nil {
		return false, 0
	}
	if c.behavior == streamingClient {
		time.Sleep(slowReadDelay)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the body was read completely or has failed
	record.status = response.StatusCode
	record.complete = err == nil
	sent := smallBytes
	if outgoing.ContentLength < 0 {
		sent = streamedBytes
	}
	record.matches = response.Header.Get(headerSeal) != "" && string(data) == fmt.Sprintf("%s of %d bytes", record.id, sent)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.Close || err != nil {
		return false, retryAfter
	}
	writing.Wait()
	return writeErr == nil, retryAfter
}

// lookUp returns the proxy addresses for clients of a zone from the first directory that responds.
func (r *run) lookUp(ctx context.Context, rng *rand.Rand, zone string) []string {
	for _, i := range rng.Perm(len(r.directories)) {
		found := struct {
			Addresses []string `json:"addresses"`
		}{}
		url := "http://" + r.directories[i] + "/api/lookup?name=x&zone=" + zone
		if status, data := r.get(ctx, url, dialTimeout); status == http.StatusOK &&
			json.Unmarshal(data, &found) == nil && len(found.Addresses) > 0 {
			return found.Addresses
		}
	}
	return nil
}

// get sends a GET request over a new connection. The status is 0 if there is no response.
func (r *run) get(ctx context.Context, url string, timeout time.Duration) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	return r.do(request)
}

func (r *run) do(request *http.Request) (status int, body []byte) {
	response, err := r.perRequest.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if body, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}
