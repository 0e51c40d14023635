package wsagent

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

	"sagelever/agent"
	"sagelever/engine"
	"sagelever/life"
	"sagelever/match"
)

// Host is the agent that a front belongs to: its engine and terms, its account of connections, and its end.
type Host interface {
	Engine() *engine.Engine
	Judge() match.Judge                                 // the operator's rules, nil if none
	Deployment() match.Deployment                       // workloads and customers
	Abandon(workload string) (each, most time.Duration) // a workload's time, and the longest that anybody waits
	Slack() time.Duration
	Upgraded(r *http.Request) (release func()) // counts a connection that is no HTTP one any more
	Leaving() <-chan struct{}                  // closed when the agent has been told to stop
}

// Limits bound what clients' connections may hold.
type Limits struct {
	InFlight  int           // transactions of one connection
	All       int64         // transactions of all
	Unsent    int           // messages that wait for one connection's reader
	Heartbeat time.Duration // between signs of life that are asked for; one that does not come in as long ends it
}

// UsualLimits: a client process has some tens of callers; a reader that is a hundred messages behind does not read.
var UsualLimits = Limits{InFlight: 64, All: 4096, Unsent: 128, Heartbeat: 15 * time.Second}

// Front takes clients' messages for transactions.
type Front struct {
	host   Host
	links  *Links
	limits Limits
	log    *slog.Logger
	held   atomic.Int64

	mu      sync.Mutex
	clients map[*client]bool
}

// NewFront makes a front. It serves whoever is handed to ServeHTTP, until the host leaves.
func NewFront(host Host, links *Links, limits Limits, log *slog.Logger) *Front {
	f := &Front{host: host, links: links, limits: limits, log: log, clients: map[*client]bool{}}
	go func() {
		<-host.Leaving()
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.clients {
			go c.leave()
		}
	}()
	return f
}

// leaving tells whether the host has been told to stop.
func (f *Front) leaving() bool {
	select {
	case <-f.host.Leaving():
		return true
	default:
		return false
	}
}

// Held tells how many connections there are, and how many transactions.
func (f *Front) Held() (connections, transactions int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int64(len(f.clients)), f.held.Load()
}

// client is one client's connection. One that says nothing costs the goroutine that reads it and a timer: ten thousand of
// them wait for pushes. A writer runs only while there is something to write.
type client struct {
	front  *Front
	ws     *websocket.Conn
	peer   string
	ctx    context.Context // ends with the connection
	mu     sync.Mutex
	asks   map[string]context.CancelFunc // open, by id
	flight sync.WaitGroup
	once   sync.Once // it leaves

	out     sync.Mutex
	queue   [][]byte // told and not yet written
	writing bool
	writers sync.WaitGroup
}

// upgradeIn is how long an upgrade may take.
const upgradeIn = 2 * time.Second

// ServeHTTP upgrades a connection and serves it until it ends.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.leaving() {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(upgradeIn))
	ws, err := websocket.Accept(lightly{w}, r, &websocket.AcceptOptions{Subprotocols: []string{ClientProtocol}, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return // it has answered
	}
	// On a goroutine of its own: net/http's has grown for a request, and would hold the request as well.
	go f.serve(ws, r.RemoteAddr, f.host.Upgraded(r))
}

// lightly takes a connection over with small buffers: most connections wait, and net/http's buffers are 8 KiB.
type lightly struct{ http.ResponseWriter }

const lightBuffer = 1 << 10 // some messages of the usual size; larger ones pass through it

func (l lightly) Unwrap() http.ResponseWriter { return l.ResponseWriter }

func (l lightly) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, brw, err := http.NewResponseController(l.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	read, _ := brw.Reader.Peek(brw.Reader.Buffered()) // what came right behind the request
	in := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(read)), conn), max(lightBuffer, len(read)))
	in.Peek(len(read))
	return conn, bufio.NewReadWriter(in, bufio.NewWriterSize(conn, lightBuffer)), nil
}

// serve is a connection's life.
func (f *Front) serve(ws *websocket.Conn, peer string, release func()) {
	defer release()
	defer ws.CloseNow()
	if ws.Subprotocol() != ClientProtocol {
		ws.Close(websocket.StatusProtocolError, "sub-protocol "+ClientProtocol+" is wanted")
		return
	}
	ws.SetReadLimit(mostHead + MostBody + 1)
	ctx, end := context.WithCancel(context.Background())
	c := &client{front: f, ws: ws, peer: peer, ctx: ctx}
	f.mu.Lock()
	f.clients[c] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.clients, c)
	}()
	if f.leaving() { // just now, and perhaps after all others were told
		go c.leave()
	}
	var beat *time.Timer
	var beating sync.Mutex // the timer's function needs the timer
	beating.Lock()
	beat = time.AfterFunc(f.limits.Heartbeat, func() {
		c.ping()
		beating.Lock()
		defer beating.Unlock()
		if ctx.Err() == nil {
			beat.Reset(f.limits.Heartbeat)
		}
	})
	beating.Unlock()
	c.read()
	end() // what is open has lost its client
	beating.Lock()
	beat.Stop()
	beating.Unlock()
	c.flight.Wait()
	c.writers.Wait()
}

// read takes message after message until the connection ends.
func (c *client) read() {
	for {
		kind, message, err := c.ws.Read(c.ctx)
		if err != nil {
			return
		}
		if kind == websocket.MessageText && !utf8.Valid(message) {
			c.ws.Close(websocket.StatusInvalidFramePayloadData, "text that is no UTF-8")
			return
		}
		a, err := readAsk(message)
		switch {
		case err != nil:
			c.tell(Tell{Type: "error", ID: a.ID[:min(len(a.ID), mostID)], Why: err.Error()})
		case a.Type == "cancel":
			c.mu.Lock()
			if cancel := c.asks[a.ID]; cancel != nil {
				cancel()
			}
			c.mu.Unlock()
		default:
			c.take(a)
		}
	}
}

// ping asks for a sign of life; a client that gives none is closed.
func (c *client) ping() {
	ctx, stop := context.WithTimeout(c.ctx, c.front.limits.Heartbeat)
	defer stop()
	if c.ws.Ping(ctx) != nil {
		c.ws.CloseNow()
	}
}

// tell queues a message. A client that does not read is closed: nothing is kept for it without end.
func (c *client) tell(t Tell) {
	c.out.Lock()
	defer c.out.Unlock()
	switch {
	case c.ctx.Err() != nil:
		return
	case len(c.queue) >= c.front.limits.Unsent:
		go c.ws.Close(websocket.StatusPolicyViolation, "too many messages wait to be read")
		return
	}
	c.queue = append(c.queue, t.Write())
	if !c.writing {
		c.writing = true
		c.writers.Go(c.write)
	}
}

// write writes what is queued, and ends when nothing is.
func (c *client) write() {
	for {
		c.out.Lock()
		if len(c.queue) == 0 {
			c.queue, c.writing = nil, false
			c.out.Unlock()
			return
		}
		message := c.queue[0]
		c.queue = c.queue[1:]
		c.out.Unlock()
		ctx, stop := context.WithTimeout(c.ctx, c.front.limits.Heartbeat)
		if c.ws.Write(ctx, websocket.MessageBinary, message) != nil {
			c.ws.CloseNow() // reading ends, and with it all else; what is queued fails as quickly
		}
		stop()
	}
}

// written tells whether all that was told has been written.
func (c *client) written() bool {
	c.out.Lock()
	defer c.out.Unlock()
	return !c.writing
}

// leave tells the client that the agent leaves, and closes when what is held is answered.
func (c *client) leave() { c.once.Do(c.goAway) }

func (c *client) goAway() {
	c.tell(Tell{Type: "going_away", RetryMS: 1000})
	over := make(chan struct{})
	go func() { c.flight.Wait(); close(over) }()
	select {
	case <-over:
		for !c.written() && c.ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		c.ws.Close(websocket.StatusGoingAway, "")
	case <-c.ctx.Done():
	}
}

// take makes a transaction of what a client asks, or says why not.
func (c *client) take(a Ask) {
	f := c.front
	refuse := func(why string) { c.tell(Tell{Type: "error", ID: a.ID, Why: why}) }
	taken, err := f.taken(a, c.peer)
	if err != nil {
		refuse(err.Error())
		return
	}
	leaving := f.leaving()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.asks[a.ID] != nil:
		refuse("the id is open")
		return
	case leaving, len(c.asks) >= f.limits.InFlight, f.held.Load() >= f.limits.All:
		// It was never taken, so asking again is harmless.
		c.tell(Tell{Type: "deferred", ID: a.ID, RetryMS: 100})
		return
	}
	gone, cancel := context.WithCancel(c.ctx)
	if c.asks == nil {
		c.asks = map[string]context.CancelFunc{}
	}
	c.asks[a.ID] = cancel
	f.held.Add(1)
	c.flight.Go(func() {
		defer f.held.Add(-1)
		defer func() {
			c.mu.Lock()
			delete(c.asks, a.ID)
			c.mu.Unlock()
			cancel()
		}()
		if a.Type == "subscribe" {
			c.subscribe(gone, a, taken)
			return
		}
		until := time.Now().Add(taken.Left)
		err := life.Run(f.host.Engine(), taken, life.Front{
			Carry: func(off context.Context, order agent.Send) life.Sent { return f.carry(off, a, order, until) },
			Give:  func(x life.Final) { c.give(a, x) },
			Gone:  gone.Done(),
			Slack: f.host.Slack(),
		})
		if err != nil {
			refuse(err.Error())
		}
	})
}

// give tells a client the final answer.
func (c *client) give(a Ask, x life.Final) {
	switch t := (Tell{ID: a.ID}); x.State {
	case life.Satisfied:
		t.Type, t.Kind, t.Body = "satisfied", x.Answer.Kind, x.Answer.Body
		c.tell(t)
	case life.Deferred:
		t.Type, t.RetryMS = "deferred", float64(x.Wait)/float64(time.Millisecond)
		c.tell(t)
	case life.Overdue:
		c.front.log.Error("overdue", "transaction", a.ID)
		t.Type = "broken_off"
		c.tell(t)
	case life.BrokenOff:
		t.Type = "broken_off"
		c.tell(t)
	}
}

// carry sends a transaction to an appliance.
func (f *Front) carry(off context.Context, a Ask, order agent.Send, until time.Time) life.Sent {
	left := time.Until(until)
	if order.TimeOut > 0 {
		left = min(left, order.TimeOut)
	}
	off, cancel := context.WithTimeoutCause(off, left, life.ErrTimedOut)
	defer cancel()
	done, err := f.links.Send(off, order.Appliance, Run{ID: a.ID, Method: a.Method, Path: a.Path, Key: a.Key, Header: a.Header,
		LeftUS: max(left.Microseconds(), 1), Idempotency: a.Idempotency, Body: a.Body})
	sent := life.Sent{Outcome: Outcome(done, err)}
	if err == nil {
		sent.Load = life.ReadLoad(done.Load)
		sent.Answer = &life.Answer{Kind: done.Kind, Body: done.Body, Free: func() {}}
	}
	return sent
}

// asked is a message as rules see it.
type asked struct {
	Ask
	peer   string
	effect string // of the workload that the path names
}

func (a asked) route() (path, query string) {
	path, query, _ = strings.Cut(a.Path, "?")
	return path, query
}

func (a asked) Text(name string) string {
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

func (a asked) Segments() []string {
	path, _ := a.route()
	return strings.Split(strings.TrimPrefix(path, "/"), "/")
}

func (a asked) Table(name string) match.Table {
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

func (a asked) Size() int64         { return int64(len(a.Body)) }
func (a asked) Hint() time.Duration { return a.hint() }

// Sent is how repeatable a message is as it was sent.
func (a asked) Sent() match.Repeatable {
	return match.SentAs(a.Method, len(a.Body) > 0, a.Idempotency != "", a.effect)
}

// taken says what the module has to know of a message, by the protocol's words and the operator's rules.
func (f *Front) taken(a Ask, peer string) (agent.Taken, error) {
	d := f.host.Deployment()
	subject := asked{Ask: a, peer: peer}
	name := subject.Segments()[0]
	subject.effect = d.Effects[name]
	t := agent.Taken{ID: agent.TransactionID(a.ID), Key: agent.Key(a.Key), Cost: a.hint(), CostKnown: a.hint() > 0, Repeat: a.Retry}
	if rules := f.host.Judge(); rules != nil {
		j := rules.Judge(subject)
		if j.Refused != nil {
			return t, j.Refused
		}
		if j.Workload != "" {
			name = j.Workload
		}
		if j.Key != "" {
			t.Key = agent.Key(j.Key)
		}
		t.Customer = agent.Customer(j.Customer)
		if j.Cost > 0 {
			t.Cost, t.CostKnown = j.Cost, true
		}
	}
	effect, sent := d.Effects[name], subject
	sent.effect = ""
	switch {
	case effect == "":
		return t, errors.New("no such workload")
	case a.Method != http.MethodGet && a.Method != http.MethodPost:
		return t, errors.New("GET or POST is wanted")
	case sent.Sent() < match.RepeatableBy(effect):
		return t, errors.New("a " + effect + " workload is not asked for so: GET without a body, or POST with idempotency, is wanted")
	}
	t.Workload = agent.Workload(name)
	each, most := f.host.Abandon(name)
	if t.Left = each; a.timeout() > 0 {
		t.Left = max(min(a.timeout(), most), 1)
	}
	return t, nil
}
