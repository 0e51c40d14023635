package httpagent

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"
)

// drainDelay is how long clients may still come after the word to stop: the front needs some tenths of a second
// to learn of it.
const drainDelay = 700 * time.Millisecond

// A client that says nothing, or never ends its head, is gone after headerReadTimeout: no client that has something to ask
// takes as long. One between two requests is let go after clientIdleTimeout, as some ask once and keep their connection for good.
const (
	headerReadTimeout = 2 * time.Second
	clientIdleTimeout = 2 * time.Second
)

// maxHeaderSize is some times what the protocol's heads need; net/http allows for as much again.
const maxHeaderSize = 4 << 10

// serve answers clients until the context ends, goes on for the lingering time with answers that close their
// connections, and then finishes what it holds.
func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	server := a.newServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(closeTrackingListener{listener}) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	a.stopping.Store(true)
	close(a.stopped)
	a.log.Info("leaving", "held", a.openTransactions.Load())
	time.Sleep(drainDelay)
	drainCtx, cancel := context.WithTimeout(context.Background(), a.longestTimeout())
	defer cancel()
	listener.Close()
	a.clientConns.closeUnused()
	err := server.Shutdown(drainCtx)
	upgradedDone := make(chan struct{})
	go func() { a.upgraded.Wait(); close(upgradedDone) }()
	select {
	case <-upgradedDone:
	case <-drainCtx.Done():
		err = drainCtx.Err()
	}
	a.log.Info("left", "held", a.openTransactions.Load(), "unfinished", err != nil)
	return nil
}

// newServer is net/http's, bounded against clients that send what is no request. It has no ReadTimeout: that counts from
// the last answer or the connection's start, and where it runs out under a transaction it passes for a client that
// has left. Its own answer to OPTIONS * would pass for one of ours.
func (a *Agent) newServer() *http.Server {
	return &http.Server{Handler: a, ReadHeaderTimeout: headerReadTimeout, WriteTimeout: headerReadTimeout + a.longestTimeout(), IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: maxHeaderSize, DisableGeneralOptionsHandler: true, ConnState: a.clientConns.connStateChanged, ConnContext: a.clientConns.connContext,
		ErrorLog: log.New(serverErrorLog{&a.badRequestLog}, "", 0)}
}

// serverErrorLog is net/http's way into the log.
type serverErrorLog struct{ *rateLimitedLog }

func (r serverErrorLog) Write(line []byte) (int, error) {
	r.warn("http", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// longestTimeout is the longest that anything held can take: the longest abandon time.
func (a *Agent) longestTimeout() time.Duration {
	longest := time.Second
	for _, w := range setting(a.station, "workloads", []string(nil)) {
		longest = max(longest, setting(a.station, "workload."+w+".abandon", time.Duration(0)))
	}
	return longest
}
