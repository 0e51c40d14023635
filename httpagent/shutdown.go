package httpagent

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"
)

// lingering is how long clients may still come after the word to stop: the front needs some tenths of a second
// to learn of it.
const lingering = 700 * time.Millisecond

// A client that says nothing, or never ends its head, is gone after headIn: no client that has something to ask
// takes as long. One between two requests is let go after restIn, as some ask once and keep their connection for good.
const (
	headIn = 2 * time.Second
	restIn = 2 * time.Second
)

// longestHead is some times what the protocol's heads need; net/http allows for as much again.
const longestHead = 4 << 10

// serve answers clients until the context ends, goes on for the lingering time with answers that close their
// connections, and then finishes what it holds.
func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	server := a.server()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(entries{listener}) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	a.leaving.Store(true)
	close(a.left)
	a.log.Info("leaving", "held", a.held.Load())
	time.Sleep(lingering)
	last, cancel := context.WithTimeout(context.Background(), a.longest())
	defer cancel()
	listener.Close()
	a.doors.closeUnused()
	err := server.Shutdown(last)
	gone := make(chan struct{})
	go func() { a.guests.Wait(); close(gone) }()
	select {
	case <-gone:
	case <-last.Done():
		err = last.Err()
	}
	a.log.Info("left", "held", a.held.Load(), "unfinished", err != nil)
	return nil
}

// server is net/http's, bounded against clients that send what is no request. It has no ReadTimeout: that counts from
// the last answer or the connection's start, and where it runs out under a transaction it passes for a client that
// has left. Its own answer to OPTIONS * would pass for one of ours.
func (a *Agent) server() *http.Server {
	return &http.Server{Handler: a, ReadHeaderTimeout: headIn, WriteTimeout: headIn + a.longest(), IdleTimeout: restIn,
		MaxHeaderBytes: longestHead, DisableGeneralOptionsHandler: true, ConnState: a.doors.note, ConnContext: a.doors.mark,
		ErrorLog: log.New(rationed{&a.bad}, "", 0)}
}

// rationed is net/http's way into the log.
type rationed struct{ *ration }

func (r rationed) Write(line []byte) (int, error) {
	r.line("http", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// longest is the longest that anything held can take: the longest abandon time.
func (a *Agent) longest() time.Duration {
	longest := time.Second
	for _, w := range term(a.station, "workloads", []string(nil)) {
		longest = max(longest, term(a.station, "workload."+w+".abandon", time.Duration(0)))
	}
	return longest
}
