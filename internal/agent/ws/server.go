package ws

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
	"sagelever/internal/agent/transaction"
	"sagelever/match"
)

// Host is the agent that a front belongs to: its engine and terms, its account of connections, and its end.
type Host interface {
	Engine() *engine.Engine
	Judge() match.Judge                                  // the operator's rules, nil if none
	Deployment() match.Deployment                        // workloads and customers
	Timeouts(workload string) (each, most time.Duration) // a workload's time, and the longest that anybody waits
	AnswerGrace() time.Duration
	TrackUpgraded(r *http.Request) (release func()) // counts a connection that is no HTTP one any more
	Stopping() <-chan struct{}                      // closed when the agent has been told to stop
}

// Limits bound what clients' connections may hold.
type Limits struct {
	PerConnection int           // transactions of one connection
	Total         int64         // transactions of all
	MaxQueued     int           // messages that wait for one connection's reader
	Heartbeat     time.Duration // between signs of life that are asked for; one that does not come in as long ends it
}

// DefaultLimits: a client process has some tens of callers; a reader that is a hundred messages behind does not read.
var DefaultLimits = Limits{PerConnection: 64, Total: 4096, MaxQueued: 128, Heartbeat: 15 * time.Second}

// Server takes clients' messages for transactions.
type Server struct {
	host             Host
	backends         *BackendPool
	limits           Limits
	log              *slog.Logger
	openTransactions atomic.Int64

	mu      sync.Mutex
	clients map[*clientConn]bool
}

// NewServer makes a front. It serves whoever is handed to ServeHTTP, until the host leaves.
func NewServer(host Host, backends *BackendPool, limits Limits, log *slog.Logger) *Server {
	s := &Server{host: host, backends: backends, limits: limits, log: log, clients: map[*clientConn]bool{}}
	go func() {
		<-host.Stopping()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.clients {
			go c.drain()
		}
	}()
	return s
}

// stopping tells whether the host has been told to stop.
func (s *Server) stopping() bool {
	select {
	case <-s.host.Stopping():
		return true
	default:
		return false
	}
}

// Load tells how many connections there are, and how many transactions.
func (s *Server) Load() (connections, transactions int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.clients)), s.openTransactions.Load()
}

// clientConn is one client's connection. One that says nothing costs the goroutine that reads it and a timer: ten
// thousand of them wait for pushes. A writer runs only while there is something to write.
type clientConn struct {
	server    *Server
	ws        *websocket.Conn
	peer      string
	ctx       context.Context // ends with the connection
	mu        sync.Mutex
	cancels   map[string]context.CancelFunc // open, by id
	inFlight  sync.WaitGroup
	drainOnce sync.Once // it leaves

	queueMu sync.Mutex
	queue   [][]byte // told and not yet written
	writing bool
	writers sync.WaitGroup
}

// upgradeTimeout is how long an upgrade may take.
const upgradeTimeout = 2 * time.Second

// ServeHTTP upgrades a connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.stopping() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(upgradeTimeout))
	ws, err := websocket.Accept(smallBufferWriter{w}, r, &websocket.AcceptOptions{Subprotocols: []string{ClientProtocol}, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // it has answered
	}
	// On a goroutine of its own: net/http's has grown for a request, and would hold the request as well.
	go s.serveConn(ws, r.RemoteAddr, s.host.TrackUpgraded(r))
}

// smallBufferWriter takes a connection over with small buffers: most connections wait, and net/http's buffers are 8
// KiB.
type smallBufferWriter struct{ http.ResponseWriter }

const smallBufferSize = 1 << 10 // some messages of the usual size; larger ones pass through it

func (l smallBufferWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }

func (l smallBufferWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, brw, err := http.NewResponseController(l.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	read, _ := brw.Reader.Peek(brw.Reader.Buffered()) // what came right behind the request
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(read)), conn), max(smallBufferSize, len(read)))
	in.Peek(len(read))
	return conn, bufio.NewReadWriter(in, bufio.NewWriterSize(conn, smallBufferSize)), nil
}

// serveConn is a connection's life.
func (s *Server) serveConn(ws *websocket.Conn, peer string, release func()) {
	defer release()
	defer ws.CloseNow()
	if ws.Subprotocol() != ClientProtocol {
		ws.Close(websocket.StatusProtocolError, "sub-protocol "+ClientProtocol+" is wanted")
		return
	}
	ws.SetReadLimit(maxHeadSize + MaxBodySize + 1)
	ctx, cancel := context.WithCancel(context.Background())
	c := &clientConn{server: s, ws: ws, peer: peer, ctx: ctx}
	s.mu.Lock()
	s.clients[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.clients, c)
	}()
	if s.stopping() { // just now, and perhaps after all others were told
		go c.drain()
	}
	var heartbeat *time.Timer
	var heartbeatMu sync.Mutex // the timer's function needs the timer
	heartbeatMu.Lock()
	heartbeat = time.AfterFunc(s.limits.Heartbeat, func() {
		c.ping()
		heartbeatMu.Lock()
		defer heartbeatMu.Unlock()
		if ctx.Err() == nil {
			heartbeat.Reset(s.limits.Heartbeat)
		}
	})
	heartbeatMu.Unlock()
	c.readLoop()
	cancel() // what is open has lost its client
	heartbeatMu.Lock()
	heartbeat.Stop()
	heartbeatMu.Unlock()
	c.inFlight.Wait()
	c.writers.Wait()
}

// readLoop takes message after message until the connection ends.
func (c *clientConn) readLoop() {
	for {
		kind, message, err := c.ws.Read(c.ctx)
		if err != nil {
			return
		}
		if kind == websocket.MessageText && !utf8.Valid(message) {
			c.ws.Close(websocket.StatusInvalidFramePayloadData, "text that is no UTF-8")
			return
		}
		request, err := parseClientRequest(message)
		switch {
		case err != nil:
			c.enqueue(ClientMessage{Type: "error", ID: request.ID[:min(len(request.ID), maxIDLength)], Error: err.Error()})
		case request.Type == "cancel":
			c.mu.Lock()
			if cancel := c.cancels[request.ID]; cancel != nil {
				cancel()
			}
			c.mu.Unlock()
		default:
			c.startTransaction(request)
		}
	}
}

// ping asks for a sign of life; a client that gives none is closed.
func (c *clientConn) ping() {
	ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
	defer stop()
	if c.ws.Ping(ctx) != nil {
		c.ws.CloseNow()
	}
}

// enqueue queues a message. A client that does not read is closed: nothing is kept for it without end.
func (c *clientConn) enqueue(message ClientMessage) {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	switch {
	case c.ctx.Err() != nil:
		return
	case len(c.queue) >= c.server.limits.MaxQueued:
		go c.ws.Close(websocket.StatusPolicyViolation, "too many messages wait to be read")
		return
	}
	c.queue = append(c.queue, message.Encode())
	if !c.writing {
		c.writing = true
		c.writers.Go(c.writeLoop)
	}
}

// writeLoop writes what is queued, and ends when nothing is.
func (c *clientConn) writeLoop() {
	for {
		c.queueMu.Lock()
		if len(c.queue) == 0 {
			c.queue, c.writing = nil, false
			c.queueMu.Unlock()
			return
		}
		message := c.queue[0]
		c.queue = c.queue[1:]
		c.queueMu.Unlock()
		ctx, stop := context.WithTimeout(c.ctx, c.server.limits.Heartbeat)
		if c.ws.Write(ctx, websocket.MessageBinary, message) != nil {
			c.ws.CloseNow() // reading ends, and with it all else; what is queued fails as quickly
		}
		stop()
	}
}

// flushed tells whether all that was told has been written.
func (c *clientConn) flushed() bool {
	c.queueMu.Lock()
	defer c.queueMu.Unlock()
	return !c.writing
}

// drain tells the client that the agent leaves, and closes when what is held is answered.
func (c *clientConn) drain() { c.drainOnce.Do(c.sendGoingAway) }

func (c *clientConn) sendGoingAway() {
	c.enqueue(ClientMessage{Type: "going_away", RetryMS: 1000})
	idle := make(chan struct{})
	go func() { c.inFlight.Wait(); close(idle) }()
	select {
	case <-idle:
		for !c.flushed() && c.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		c.ws.Close(websocket.StatusGoingAway, "")
	case <-c.ctx.Done():
	}
}

// startTransaction makes a transaction of what a client asks, or says why not.
func (c *clientConn) startTransaction(request ClientRequest) {
	server := c.server
	reject := func(why string) { c.enqueue(ClientMessage{Type: "error", ID: request.ID, Error: why}) }
	accepted, err := server.accept(request, c.peer)
	if err != nil {
		reject(err.Error())
		return
	}
	stopping := server.stopping()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.cancels[request.ID] != nil:
		reject("the id is open")
		return
	case stopping, len(c.cancels) >= server.limits.PerConnection, server.openTransactions.Load() >= server.limits.Total:
		// It was never taken, so asking again is harmless.
		c.enqueue(ClientMessage{Type: "deferred", ID: request.ID, RetryMS: 100})
		return
	}
	requestCtx, cancel := context.WithCancel(c.ctx)
	if c.cancels == nil {
		c.cancels = map[string]context.CancelFunc{}
	}
	c.cancels[request.ID] = cancel
	server.openTransactions.Add(1)
	c.inFlight.Go(func() {
		defer server.openTransactions.Add(-1)
		defer func() {
			c.mu.Lock()
			delete(c.cancels, request.ID)
			c.mu.Unlock()
			cancel()
		}()
		if request.Type == "subscribe" {
			c.subscribe(requestCtx, request, accepted)
			return
		}
		deadline := time.Now().Add(accepted.Timeout)
		err := transaction.Run(server.host.Engine(), accepted, transaction.Handler{
			Send: func(ctx context.Context, action api.StartAttempt) transaction.AttemptResult {
				return server.runAttempt(ctx, request, action, deadline)
			},
			Respond:     func(result transaction.Result) { c.respond(request, result) },
			ClientGone:  requestCtx.Done(),
			AnswerGrace: server.host.AnswerGrace(),
		})
		if err != nil {
			reject(err.Error())
		}
	})
}

// respond tells a client the final answer.
func (c *clientConn) respond(request ClientRequest, result transaction.Result) {
	switch message := (ClientMessage{ID: request.ID}); result.State {
	case transaction.Succeeded:
		message.Type, message.ContentType, message.Body = "satisfied", result.Response.ContentType, result.Response.Body
		c.enqueue(message)
	case transaction.Deferred:
		message.Type, message.RetryMS = "deferred", float64(result.RetryAfter)/float64(time.Millisecond)
		c.enqueue(message)
	case transaction.DeadlineExceeded:
		c.server.log.Error("overdue", "transaction", request.ID)
		message.Type = "broken_off"
		c.enqueue(message)
	case transaction.Failed:
		message.Type = "broken_off"
		c.enqueue(message)
	}
}

// runAttempt sends a transaction to an appliance.
func (s *Server) runAttempt(ctx context.Context, request ClientRequest, action api.StartAttempt, deadline time.Time) transaction.AttemptResult {
	remaining := time.Until(deadline)
	if action.Timeout > 0 {
		remaining = min(remaining, action.Timeout)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, transaction.ErrTimedOut)
	defer cancel()
	response, err := s.backends.Send(ctx, action.Backend, BackendRequest{ID: request.ID, Method: request.Method, Path: request.Path, Key: request.Key, Header: request.Header,
		LeftUS: max(remaining.Microseconds(), 1), Idempotency: request.Idempotency, Body: request.Body})
	result := transaction.AttemptResult{Outcome: OutcomeOf(response, err)}
	if err == nil {
		result.Load = transaction.ParseLoadReport(response.Load)
		result.Response = &transaction.Response{ContentType: response.ContentType, Body: response.Body, Release: func() {}}
	}
	return result
}

// ruleSubject is a message as rules see it.
type ruleSubject struct {
	ClientRequest
	peer   string
	effect string // of the workload that the path names
}

func (a ruleSubject) route() (path, query string) {
	path, query, _ = strings.Cut(a.Path, "?")
	return path, query
}

func (a ruleSubject) Text(name string) string {
	switch name {
	case "method":
		return a.Method
	case "path":
		path, _ := a.route()
		return path
	case "peer":
		i := strings.LastIndexByte(a.peer, ':')
		return a.peer[:max(i, 0)]
	}
	return ""
}

func (a ruleSubject) Segments() []string {
	path, _ := a.route()
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

func (a ruleSubject) Table(name string) match.Table {
	switch name {
	case "header":
		return match.Table{Of: a.Header, Fold: true}
	case "query":
		_, query := a.route()
		if values, err := url.ParseQuery(query); err == nil {
			return match.Table{Of: values}
		}
	}
	return match.Table{}
}

func (a ruleSubject) Size() int64         { return int64(len(a.Body)) }
func (a ruleSubject) Hint() time.Duration { return a.workHint() }

// Sent is how repeatable a message is as it was sent.
func (a ruleSubject) Sent() match.Repeatable {
	return match.SentAs(a.Method, len(a.Body) > 0, a.Idempotency != "", a.effect)
}

// accept says what the module has to know of a message, by the protocol's words and the operator's rules.
func (s *Server) accept(request ClientRequest, peer string) (api.TransactionAccepted, error) {
	deployment := s.host.Deployment()
	subject := ruleSubject{ClientRequest: request, peer: peer}
	name := subject.Segments()[0]
	subject.effect = deployment.Effects[name]
	accepted := api.TransactionAccepted{ID: api.TransactionID(request.ID), Key: api.AffinityKey(request.Key), Cost: request.workHint(), CostKnown: request.workHint() > 0, IsRetry: request.IsRetry}
	if rules := s.host.Judge(); rules != nil {
		judgement := rules.Judge(subject)
		if judgement.Refused != nil {
			return accepted, judgement.Refused
		}
		if judgement.Workload != "" {
			name = judgement.Workload
		}
		if judgement.Key != "" {
			accepted.Key = api.AffinityKey(judgement.Key)
		}
		accepted.Customer = api.Customer(judgement.Customer)
		if judgement.Cost > 0 {
			accepted.Cost, accepted.CostKnown = judgement.Cost, true
		}
	}
	effect, sent := deployment.Effects[name], subject
	sent.effect = ""
	switch {
	case effect == "":
		return accepted, errors.New("no such workload")
	case request.Method != http.MethodGet && request.Method != http.MethodPost:
		return accepted, errors.New("GET or POST is wanted")
	case sent.Sent() < match.RepeatableBy(effect):
		return accepted, errors.New("a " + effect + " workload is not asked for so: GET without a body, or POST with idempotency, is wanted")
	}
	accepted.Workload = api.Workload(name)
	timeout, maximum := s.host.Timeouts(name)
	if accepted.Timeout = timeout; request.timeout() > 0 {
		accepted.Timeout = max(min(request.timeout(), maximum), 1)
	}
	return accepted, nil
}
