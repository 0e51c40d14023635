package httpagent

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"
)

// lingering is how long clients may still come after the word to stop: the front needs some tenths of a second
// to learn of it.
const lingering = 700 * time.Millisecond

// stuck is how long a client may take to write or to read: no client that still waits needs as long.
const stuck = 30 * time.Second

// serve answers clients until the context ends, goes on for the lingering time with answers that close their
// connections, and then finishes what it holds.
func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	// No ReadTimeout: the server counts it from the last answer or the connection's start, and where it runs out
	// under a transaction it passes for a client that has left.
	server := &http.Server{Handler: a, ReadHeaderTimeout: stuck, WriteTimeout: stuck + a.longest(), IdleTimeout: 5 * time.Minute,
		MaxHeaderBytes: mostBody, ConnState: a.doors.note,
		ErrorLog: log.New(log.Writer(), "event=http ", log.Flags()|log.Lmsgprefix)}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	a.leaving.Store(true)
	log.Printf("event=leaving held=%d", a.held.Load())
	time.Sleep(lingering)
	last, cancel := context.WithTimeout(context.Background(), a.longest())
	defer cancel()
	listener.Close()
	a.doors.closeUnused()
	err := server.Shutdown(last)
	log.Printf("event=left held=%d unfinished=%v", a.held.Load(), err != nil)
	return nil
}

// longest is the longest that anything held can take: the longest abandon time.
func (a *Agent) longest() time.Duration {
	longest := time.Second
	for _, w := range term(a.station, "workloads", []string(nil)) {
		longest = max(longest, term(a.station, "workload."+w+".abandon", time.Duration(0)))
	}
	return longest
}
