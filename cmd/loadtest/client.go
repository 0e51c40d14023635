package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"sagelever/internal/agent/ws"
)

const (
	// inFlightPerClient bounds the unanswered messages of one connection.
	inFlightPerClient = 16
	// answerTimeout bounds the wait for the last answers. It exceeds the deadlines of the workloads, which are 2 s or
	// less.
	answerTimeout = 3 * time.Second
	// answerPollInterval is how often a client checks whether all its messages have been answered.
	answerPollInterval = 5 * time.Millisecond
	// secondAnswerWait is how long a client waits at the end to detect duplicate answers.
	secondAnswerWait = 100 * time.Millisecond
	// maxAnswerSize bounds a message to a client.
	maxAnswerSize = 1 << 20
	// rolloutPercent and idempotentPercent are the shares of messages of the workloads rollout-step and keep.
	rolloutPercent    = 15
	idempotentPercent = 25
	// distinctKeys is the number of keys of messages.
	distinctKeys = 500
	// maxRolloutBody bounds the body of a rollout-step message in bytes.
	maxRolloutBody = 20000
)

// answerRecord records the answers to one message.
type answerRecord struct {
	rollout bool // of the workload that must be executed at most once
	sentAt  time.Time
	types   []string // type of each answer
	bodyOK  bool     // the last answer had the expected body
	latency time.Duration
}

// client sends messages over one WebSocket connection and records the answers.
type client struct {
	number int // prefix of the message IDs; unique among the clients of a run
	conn   *websocket.Conn
	slots  chan struct{} // semaphore with an element for each unanswered message

	mu      sync.Mutex
	records map[string]*answerRecord // by message ID
}

// sendMessages sends messages over one connection, with up to inFlightPerClient in flight, and counts them in sent. It
// waits until all are answered or answerTimeout has passed. It returns the records of all messages, or none if it
// cannot connect.
func sendMessages(address string, number, messages int, rng *rand.Rand, sent *atomic.Int64) map[string]*answerRecord {
	c := &client{
		number:  number,
		slots:   make(chan struct{}, inFlightPerClient),
		records: map[string]*answerRecord{},
	}
	ctx, stop := context.WithCancel(context.Background())
	conn, _, err := websocket.Dial(ctx, "ws://"+address+webSocketPath,
		&websocket.DialOptions{Subprotocols: []string{ws.ClientProtocol}})
	if err != nil {
		stop()
		return c.records
	}
	conn.SetReadLimit(maxAnswerSize)
	c.conn = conn
	var receiving sync.WaitGroup
	receiving.Go(func() { c.receive(ctx) })
	for i := range messages {
		c.slots <- struct{}{}
		if !c.send(ctx, c.newRequest(i, rng)) {
			break
		}
		sent.Add(1)
	}
	c.awaitAnswers()
	time.Sleep(secondAnswerWait)
	stop()
	receiving.Wait()
	_ = conn.CloseNow() // already closed by the end of the context
	return c.records
}

// newRequest draws a request. Of 100 requests, about 15 are of the workload that must be executed at most once and 25
// of the idempotent one.
func (c *client) newRequest(index int, rng *rand.Rand) ws.ClientRequest {
	request := ws.ClientRequest{
		Type: "ask",
		ID:   fmt.Sprintf("%d-%d", c.number, index),
		Path: "/look/x",
		Key:  fmt.Sprint("k", rng.IntN(distinctKeys)),
	}
	switch n := rng.IntN(100); {
	case n < rolloutPercent:
		request.Method = http.MethodPost
		request.Path = "/rollout-step/x"
		request.Body = []byte(strings.Repeat("r", rng.IntN(maxRolloutBody)))
	case n < rolloutPercent+idempotentPercent:
		request.Method = http.MethodPost
		request.Path = "/keep/x"
		request.Idempotency = request.ID
		request.Body = []byte("kept")
	}
	return request
}

// send records and sends a request. It reports whether the request was written to the connection.
func (c *client) send(ctx context.Context, request ws.ClientRequest) bool {
	record := &answerRecord{rollout: strings.HasPrefix(request.Path, "/rollout"), sentAt: time.Now()}
	c.mu.Lock()
	c.records[request.ID] = record
	c.mu.Unlock()
	return c.conn.Write(ctx, websocket.MessageBinary, request.Encode()) == nil
}

// receive records answers until the connection fails or the context ends.
func (c *client) receive(ctx context.Context) {
	for {
		_, message, err := c.conn.Read(ctx)
		if err != nil {
			return
		}
		if answer, err := ws.ParseClientMessage(message); err == nil {
			c.record(answer)
		}
	}
}

// record records an answer. The first answer to a message releases the slot of the message.
func (c *client) record(answer ws.ClientMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.records[answer.ID]
	if record == nil {
		return
	}
	record.types = append(record.types, answer.Type)
	record.bodyOK = string(answer.Body) == answer.ID
	record.latency = time.Since(record.sentAt)
	if len(record.types) == 1 {
		<-c.slots
	}
}

// awaitAnswers waits until all messages are answered or answerTimeout has passed.
func (c *client) awaitAnswers() {
	for range answerTimeout / answerPollInterval {
		if c.unanswered() == 0 {
			return
		}
		time.Sleep(answerPollInterval)
	}
}

// unanswered returns the number of messages without an answer.
func (c *client) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, record := range c.records {
		if len(record.types) == 0 {
			count++
		}
	}
	return count
}
