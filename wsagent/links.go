package wsagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/agent"
	"sagelever/life"
	"sagelever/pool"
)

// Links are the connections to appliances. Package pool decides about them; here it is carried out.
type Links struct {
	began time.Time
	log   *slog.Logger
	path  string // where appliances take the upgrade
	slow  time.Duration

	mu        sync.Mutex
	pool      *pool.Pool
	conns     map[pool.LinkID]*conn
	addresses map[agent.ApplianceID]string
	retired   map[agent.ApplianceID]chan struct{} // closed when an appliance gets nothing new any more
	changed   chan struct{}                       // closed when a connection has come up or failed
	ctx       context.Context
}

// conn is one connection.
type conn struct {
	id     pool.LinkID
	ws     *websocket.Conn // nil while it comes up
	turn   chan struct{}   // whose turn it is to write
	cancel context.CancelFunc
	ended  chan struct{} // closed when it is of no use any more

	mu    sync.Mutex
	last  uint64
	waits map[uint64]chan Done
	subs  map[uint64]*Subscription
}

// fragment is how much of a message is written at a time: between two a send can still be cut so that it never runs.
const fragment = 4 << 10

// stuck is how long one fragment may take to be written. An appliance that does not read holds up all its sends.
const stuck = time.Second

// NewLinks makes connections to appliances at a path, which end with ctx. Their pool keeps to bounds.
func NewLinks(ctx context.Context, path string, bounds pool.Bounds, seed uint64, log *slog.Logger) *Links {
	l := &Links{began: time.Now(), log: log, path: path, slow: bounds.DialSlow, pool: pool.New(bounds, seed), conns: map[pool.LinkID]*conn{},
		addresses: map[agent.ApplianceID]string{}, retired: map[agent.ApplianceID]chan struct{}{}, changed: make(chan struct{}), ctx: ctx}
	go l.watch(bounds)
	return l
}

func (l *Links) now() time.Duration { return time.Since(l.began) }

// watch lets the pool look at the time.
func (l *Links) watch(bounds pool.Bounds) {
	beat := time.NewTicker(max(min(bounds.Quiet, bounds.Mute)/10, time.Millisecond))
	defer beat.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.mu.Lock()
			for _, c := range l.conns {
				c.cancel()
			}
			l.mu.Unlock()
			return
		case <-beat.C:
			l.mu.Lock()
			l.do(l.pool.Tick(l.now()))
			l.mu.Unlock()
		}
	}
}

// Listed is one line of the list of appliances.
type Listed struct {
	ID      agent.ApplianceID
	Address string
	Up      bool // may get sends
}

// List takes up lines of the list. A new machine under an old id gets new connections.
func (l *Links) List(lines []Listed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range lines {
		if old, known := l.addresses[x.ID]; known && (!x.Up || old != x.Address) {
			l.retire(x.ID)
		}
		if _, known := l.addresses[x.ID]; x.Up && !known {
			l.addresses[x.ID], l.retired[x.ID] = x.Address, make(chan struct{})
			l.do(l.pool.List(l.now(), x.ID))
		}
	}
}

func (l *Links) retire(id agent.ApplianceID) {
	close(l.retired[id])
	delete(l.retired, id)
	delete(l.addresses, id)
	l.do(l.pool.Retire(l.now(), id))
}

// do carries out what the pool wants. The lock is held.
func (l *Links) do(acts []pool.Act) {
	for _, a := range acts {
		switch a.Kind {
		case pool.Dial:
			ctx, cancel := context.WithCancel(l.ctx)
			c := &conn{id: a.Link, cancel: cancel, turn: make(chan struct{}, 1), ended: make(chan struct{}), waits: map[uint64]chan Done{},
				subs: map[uint64]*Subscription{}}
			l.conns[a.Link] = c
			go l.serve(ctx, c, l.addresses[a.Appliance])
		case pool.Ping:
			if c := l.conns[a.Link]; c != nil {
				go func() {
					ctx, cancel := context.WithTimeout(l.ctx, 10*time.Second) // the pool gives the link up long before
					defer cancel()
					if c.ws.Ping(ctx) == nil {
						l.tell(c, (*pool.Pool).Heard)
					}
				}()
			}
		case pool.Close:
			if c := l.conns[a.Link]; c != nil {
				delete(l.conns, a.Link)
				c.cancel()
			}
		}
	}
}

// tell tells the pool what befell a connection, and wakes those who wait for one.
func (l *Links) tell(c *conn, what func(*pool.Pool, time.Duration, pool.LinkID) []pool.Act) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.do(what(l.pool, l.now(), c.id))
}

func (l *Links) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// serve opens a connection and reads it until it ends.
func (l *Links) serve(ctx context.Context, c *conn, address string) {
	defer c.cancel()
	defer close(c.ended)
	defer l.wake()
	dialling, stop := context.WithTimeout(ctx, l.slow)
	ws, _, err := websocket.Dial(dialling, "ws://"+address+l.path, &websocket.DialOptions{Subprotocols: []string{ApplianceProtocol},
		CompressionMode: websocket.CompressionDisabled, HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}})
	stop()
	if err == nil && ws.Subprotocol() != ApplianceProtocol {
		ws.CloseNow()
		err = errors.New("the appliance does not speak " + ApplianceProtocol)
	}
	if err != nil {
		l.lose(c)
		return
	}
	ws.SetReadLimit(mostHead + 16*MostBody)
	l.mu.Lock()
	c.ws = ws
	l.do(l.pool.Opened(l.now(), c.id))
	l.mu.Unlock()
	l.wake()
	defer ws.CloseNow()
	for {
		_, message, err := ws.Read(ctx)
		if err != nil {
			l.lose(c)
			return
		}
		l.tell(c, (*pool.Pool).Heard)
		done, err := readDone(message)
		if err != nil { // what is spoilt belongs to no send: all of them may have run
			l.log.Warn("spoilt_message", "address", address, "error", err)
			l.lose(c)
			return
		}
		c.mu.Lock()
		wait, sub := c.waits[done.Send], c.subs[done.Send]
		if done.Type == "done" {
			delete(c.waits, done.Send)
		}
		c.mu.Unlock()
		switch {
		case done.Type == "push" && sub != nil:
			sub.push(done)
		case done.Type == "done" && wait != nil:
			wait <- done
		}
	}
}

func (l *Links) lose(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c.id)
	l.do(l.pool.Failed(l.now(), c.id))
}

// Reach is how far a send had come when it ended without an answer.
type Reach int

const (
	Unconnected Reach = iota // no connection came up
	Unwritten                // its last fragment was never handed on: it never ran
	Written                  // it may have run
)

// SendError says why a send has no answer, and how far it had come.
type SendError struct {
	Reach Reach
	Cause error
}

func (e *SendError) Error() string { return fmt.Sprintf("reach %d: %v", e.Reach, e.Cause) }
func (e *SendError) Unwrap() error { return e.Cause }

var (
	errNoWay   = errors.New("no connection can be had now")
	errRetired = errors.New("the appliance gets nothing new")
	errBroke   = errors.New("the connection broke")
	errStuck   = errors.New("the appliance does not read")
)

// Outcome is the module's word for how a send ended. Only what is certain counts as never run.
func Outcome(done Done, err error) agent.Outcome {
	var e *SendError
	switch {
	case err == nil && done.Status == http.StatusOK:
		return agent.Satisfied
	case err == nil && done.NotStarted:
		return agent.Rejected
	case err == nil && done.Status >= 400 && done.Status < 500:
		return agent.Unfit
	case err == nil:
		return agent.Fault
	case errors.As(err, &e) && e.Reach < Written && (errors.Is(err, life.ErrCalledOff) || errors.Is(err, errRetired) || errors.Is(err, errNoWay)):
		return agent.NotSent // no blame on the appliance for what is ours
	case errors.As(err, &e) && e.Reach < Written:
		return agent.Unreachable
	case errors.Is(err, life.ErrCalledOff):
		return agent.CalledOff
	case errors.Is(err, life.ErrTimedOut):
		return agent.TimedOut
	}
	return agent.Cut
}

// Subscription is what an appliance pushes after it has answered. It counts as a send that is out, so that its connection
// is neither taken for one at rest nor believed to live without a sign of it.
type Subscription struct {
	Over  <-chan struct{} // closed when the connection has ended
	Moves <-chan struct{} // closed when the appliance gets nothing new: it should be asked of another

	links *Links
	conn  *conn
	send  uint64
	once  sync.Once
	push  func(Done)
}

// Close ends it, and tells the appliance.
func (s *Subscription) Close() {
	s.once.Do(func() {
		s.conn.mu.Lock()
		delete(s.conn.subs, s.send)
		s.conn.mu.Unlock()
		s.links.tell(s.conn, (*pool.Pool).Over)
		go s.links.cancel(s.conn, s.send)
	})
}

// Send carries one message to an appliance and waits for its answer. It is given up when off ends, whose cause says why.
func (l *Links) Send(off context.Context, to agent.ApplianceID, r Run) (Done, error) {
	done, _, err := l.send(off, to, r, nil)
	return done, err
}

// Subscribe is Send for a message whose answer is followed by pushes. What is pushed before the answer has been read
// counts too. push is called by one goroutine at a time and returns at once.
func (l *Links) Subscribe(off context.Context, to agent.ApplianceID, r Run, push func(Done)) (Done, *Subscription, error) {
	return l.send(off, to, r, push)
}

func (l *Links) send(off context.Context, to agent.ApplianceID, r Run, push func(Done)) (_ Done, sub *Subscription, err error) {
	c, retired, err := l.connect(off, to)
	if err != nil {
		return Done{}, nil, err
	}
	answer := make(chan Done, 1)
	c.mu.Lock()
	c.last++
	r.Type, r.Send, r.Size = "run", c.last, len(r.Body)
	c.waits[r.Send] = answer
	if push != nil {
		sub = &Subscription{Over: c.ended, Moves: retired, links: l, conn: c, send: r.Send, push: push}
		c.subs[r.Send] = sub
	}
	c.mu.Unlock()
	defer func() {
		switch { // one that is answered well goes on being out
		case sub == nil:
			l.tell(c, (*pool.Pool).Over)
		case err != nil:
			sub.Close()
			sub = nil
		}
	}()
	done, err := l.await(off, c, retired, r, answer)
	return done, sub, err
}

// await writes a message and waits for its answer.
func (l *Links) await(off context.Context, c *conn, retired <-chan struct{}, r Run, answer <-chan Done) (Done, error) {
	defer func() {
		c.mu.Lock()
		delete(c.waits, r.Send)
		c.mu.Unlock()
	}()
	if err := l.write(off, c, retired, r); err != nil {
		return Done{}, err
	}
	select {
	case done := <-answer:
		return done, nil
	case <-c.ended:
		select { // it may have come just before
		case done := <-answer:
			return done, nil
		default:
			return Done{}, &SendError{Written, errBroke}
		}
	case <-off.Done():
		go l.cancel(c, r.Send)
		return Done{}, &SendError{Written, context.Cause(off)}
	}
}

// connect gets the connection that the pool gives a send, and the word that its appliance gets nothing new.
func (l *Links) connect(off context.Context, to agent.ApplianceID) (*conn, <-chan struct{}, error) {
	for {
		l.mu.Lock()
		answer, id, acts := l.pool.Want(l.now(), to)
		l.do(acts)
		c, retired, changed := l.conns[id], l.retired[to], l.changed
		l.mu.Unlock()
		switch {
		case answer == pool.Go && c != nil:
			return c, retired, nil
		case answer == pool.Refuse && retired == nil:
			return nil, nil, &SendError{Unconnected, errRetired}
		case answer != pool.Wait:
			return nil, nil, &SendError{Unconnected, errNoWay}
		}
		select {
		case <-changed:
		case <-retired:
			return nil, nil, &SendError{Unconnected, errRetired}
		case <-off.Done():
			return nil, nil, &SendError{Unconnected, context.Cause(off)}
		}
	}
}

// write writes a message by fragments. Until the last one has been handed on it can be cut, when it is called off or its
// appliance gets nothing new; it then never runs, and the connection goes on carrying the others.
func (l *Links) write(off context.Context, c *conn, retired <-chan struct{}, r Run) error {
	cut := func() error {
		select {
		case <-off.Done():
			return &SendError{Unwritten, context.Cause(off)}
		case <-retired:
			return &SendError{Unwritten, errRetired}
		case <-c.ended:
			return &SendError{Unwritten, errBroke}
		default:
			return nil
		}
	}
	select {
	case c.turn <- struct{}{}:
		defer func() { <-c.turn }()
	case <-off.Done():
		return cut()
	case <-retired:
		return cut()
	case <-c.ended:
		return cut()
	}
	if err := cut(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	late := time.AfterFunc(stuck, stop)
	defer late.Stop()
	w, err := c.ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return &SendError{Unwritten, errBroke}
	}
	message := join(r, r.Body)
	for rest := message; len(rest) > 0; {
		n := min(len(rest), fragment)
		if err := cut(); err != nil {
			w.Close() // what is written has fewer bytes than it says, and never runs
			return err
		}
		if len(rest) == n {
			break
		}
		late.Reset(stuck)
		if _, err := w.Write(rest[:n]); err != nil {
			return &SendError{Unwritten, fmt.Errorf("%w: %w", errStuck, err)}
		}
		rest = rest[n:]
		message = rest
	}
	late.Reset(stuck)
	if _, err := w.Write(message); err != nil {
		return &SendError{Unwritten, fmt.Errorf("%w: %w", errStuck, err)}
	}
	if err := w.Close(); err != nil { // this hands on the last fragment, an empty one: from here on it may have run
		return &SendError{Written, fmt.Errorf("%w: %w", errBroke, err)}
	}
	return nil
}

// cancel tells an appliance that nobody waits any more, if that can be written soon.
func (l *Links) cancel(c *conn, send uint64) {
	ctx, stop := context.WithTimeout(l.ctx, stuck)
	defer stop()
	select {
	case c.turn <- struct{}{}:
		defer func() { <-c.turn }()
		c.ws.Write(ctx, websocket.MessageBinary, join(Run{Type: "cancel", Send: send}, nil))
	case <-ctx.Done():
	case <-c.ended:
	}
}

// Counts are the pool's counts, and how many connections are up or coming up.
func (l *Links) Counts() pool.Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.pool.Counts
	counts.Now = len(l.conns)
	return counts
}
