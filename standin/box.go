// Package standin plays what stands around an agent, on loopback and from the project's own protocol pages: appliances
// that can be told to misbehave, and discovery. They note what they saw, so that a test can check it against what
// clients were told.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"sagelever/wsagent"
)

// Mood is how an appliance behaves.
type Mood int

const (
	Well   Mood = iota
	Silent      // takes connections and messages, runs these, and answers neither them nor pings
	Deaf        // answers pings and nothing else: what it reads it runs, and no answer comes
	Faulty      // answers with an error
	Full        // turns away unlooked-at
)

// Box is an appliance that speaks WebSocket.
type Box struct {
	Name    string
	Address string
	server  *http.Server

	mu    sync.Mutex
	mood  Mood
	takes time.Duration
	conns map[*websocket.Conn]bool
	runs  map[string]int // by id
	last  time.Time      // when a message that it ran came in
	short int            // messages that were cut short, and not run
}

// NewBox starts an appliance whose answers take some time.
func NewBox(name string, takes time.Duration) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{Name: name, Address: l.Addr().String(), takes: takes, conns: map[*websocket.Conn]bool{}, runs: map[string]int{}}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
	return b, nil
}

// Close ends it, as a kill would: connections break.
func (b *Box) Close() {
	b.server.Close()
	b.Cut()
}

// Cut breaks all its connections.
func (b *Box) Cut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		go c.CloseNow()
	}
}

// Behave changes its mood, and how long its answers take.
func (b *Box) Behave(m Mood, takes time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mood, b.takes = m, takes
}

// Saw gives how often it ran each id, when the last one came, and how many messages were cut short.
func (b *Box) Saw() (runs map[string]int, last time.Time, short int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs = map[string]int{}
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs, b.last, b.short
}

func (b *Box) now() (Mood, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mood, b.takes
}

func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") == "" {
		b.plain(w, r)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{wsagent.ApplianceProtocol},
		OnPingReceived: func(context.Context, []byte) bool { m, _ := b.now(); return m != Silent }})
	if err != nil {
		return
	}
	defer ws.CloseNow()
	ws.SetReadLimit(1 << 20)
	b.mu.Lock()
	b.conns[ws] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, ws)
		b.mu.Unlock()
	}()
	for {
		_, message, err := ws.Read(context.Background())
		if err != nil {
			return
		}
		run, whole, err := wsagent.ReadRun(message)
		if err != nil || run.Type != "run" {
			continue
		}
		if !whole {
			b.mu.Lock()
			b.short++
			b.mu.Unlock()
			continue
		}
		go b.run(ws, run)
	}
}

// run carries a message out, in the mood of the moment.
func (b *Box) run(ws *websocket.Conn, run wsagent.Run) {
	mood, takes := b.now()
	done := wsagent.Done{Type: "done", Send: run.Send, Status: http.StatusOK, Load: "queue=0", Body: []byte(run.ID)}
	switch mood {
	case Full:
		done.Status, done.NotStarted, done.Body = http.StatusServiceUnavailable, true, nil
	default:
		b.mu.Lock()
		b.runs[run.ID]++
		b.last = time.Now()
		b.mu.Unlock()
		if mood == Faulty {
			done.Status, done.Body = http.StatusInternalServerError, nil
		}
		time.Sleep(takes)
	}
	if mood == Deaf || mood == Silent {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	ws.Write(ctx, websocket.MessageBinary, done.Write())
}

// plain serves HTTP, well and without notes: for comparing rates.
func (b *Box) plain(w http.ResponseWriter, r *http.Request) {
	_, takes := b.now()
	time.Sleep(takes)
	w.Header().Set("Server-Load", "queue=0")
	w.Write([]byte(r.Header.Get("Request-Id")))
}
