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
	requestTimeout = 2500 * time.Millisecond
	deadlineMargin = 150 * time.Millisecond
	dialTimeout    = time.Second
	streamedBytes  = 1300 << 10 // beyond what a proxy keeps in memory to send it again
	streamChunk    = 64 << 10
	smallBytes     = 700
	clientRetry    = 50 * time.Millisecond
	longestIdle    = 2 * time.Second
	longestStay    = 40 * time.Millisecond // of a client that leaves
	readPause      = 20 * time.Millisecond // of one that reads slowly
)

// habit is how a client uses its connection.
type habit int

const (
	steady   habit = iota // one request after the other, without a pause
	idler                 // with pauses, so that connections rest when a proxy ends
	streamer              // long bodies that are sent slowly
	leaver                // breaks requests off
	habits                // number of habits
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

// soakClient holds one connection at a time and uses it until it ends. Then it looks up where to go next.
type soakClient struct {
	run    *run
	habit  habit
	rng    *rand.Rand
	zone   string
	lastID *atomic.Int64

	conn  net.Conn
	input *bufio.Reader
	proxy string // the name of the one that it is connected to
}

func (c *soakClient) loop(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			wait(ctx, clientRetry)
			continue
		}
		wait(ctx, c.sendNext())
		if c.habit == idler {
			wait(ctx, time.Duration(c.rng.Int64N(int64(longestIdle))))
		}
	}
}

// connect looks a proxy up and connects to it.
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
		_ = c.conn.Close() // nothing is expected on it any more
		c.conn = nil
	}
}

// sendNext sends the next request on the connection and records it. It returns how long to wait before the next one.
func (c *soakClient) sendNext() (retryAfter time.Duration) {
	record := &request{
		id:            fmt.Sprint("s", c.lastID.Add(1)),
		proxy:         c.proxy,
		nonIdempotent: c.rng.IntN(10) < 4,
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
	outgoing.Header.Set(headerTimeLeft, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	deadline := record.sentAt.Add(requestTimeout + deadlineMargin)
	if c.habit == leaver && c.rng.IntN(2) == 0 {
		deadline = record.sentAt.Add(time.Duration(c.rng.Int64N(int64(longestStay))))
		record.left = true
	}
	_ = c.conn.SetDeadline(deadline)
	keep, retryAfter := c.exchange(outgoing, record)
	record.endedAt = time.Now()
	record.outOfTime = record.endedAt.Sub(record.sentAt) > requestTimeout-deadlineMargin
	record.left = record.left && !record.complete
	c.run.requests.add(record)
	if !keep {
		c.disconnect()
	}
	return retryAfter
}

// pathOf returns the path of a request's route.
func pathOf(r *request) string {
	if r.nonIdempotent {
		return "/change/"
	}
	return "/look/"
}

// body returns the body of a request and its length, -1 where it is sent in chunks.
func (c *soakClient) body() (body io.Reader, length int64) {
	if c.habit == streamer && c.rng.IntN(3) == 0 {
		return &slowBody{left: streamedBytes}, -1
	}
	return strings.NewReader(strings.Repeat("b", smallBytes)), smallBytes
}

// slowBody is a long body that takes a while to be sent.
type slowBody struct{ left int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Millisecond)
	n := min(len(p), b.left, streamChunk)
	for i := range n {
		p[i] = 'b'
	}
	b.left -= n
	return n, nil
}

// exchange writes a request and reads its response. It reports whether the connection goes on, and how long the response
// asks to wait.
func (c *soakClient) exchange(outgoing *http.Request, record *request) (keep bool, retryAfter time.Duration) {
	conn := c.conn
	var writeErr error
	var writing sync.WaitGroup
	writing.Go(func() { writeErr = outgoing.Write(conn) }) // a response may come before all of a long body is sent
	defer func() {
		if !keep {
			c.disconnect()
			writing.Wait()
		}
	}()
	_, err := c.input.Peek(1)
	record.answered = err == nil
	if err != nil {
		return false, 0
	}
	response, err := http.ReadResponse(c.input, outgoing)
	if err != nil {
		return false, 0
	}
	if c.habit == streamer {
		time.Sleep(readPause)
	}
	data, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read to its end, or broke off
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

// lookUp returns where clients of a zone may go, as one of the controllers says.
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

// get requests a page on a connection of its own; the status is 0 without a response.
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
