package httpagent

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	// drainDelay is how long clients may still come once the agent has been told to stop: whoever sends them here needs
	// some tenths of a second to learn of it.
	drainDelay = 700 * time.Millisecond

	// headerReadTimeout ends a client that says nothing, or never ends its headers: no client that has something to ask
	// takes as long.
	headerReadTimeout = 2 * time.Second

	// clientIdleTimeout ends a connection between two requests, as some clients ask once and keep it for good.
	clientIdleTimeout = 2 * time.Second

	// maxHeaderSize is some times what the protocol's headers need; net/http allows for as much again.
	maxHeaderSize = 4 << 10
)

// serve answers clients until the context ends, goes on for drainDelay with answers that close their connections, and
// then waits until what is open is finished.
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
	listener.Close()
	a.clientConns.closeUnused()
	err := a.waitUntilDrained(server)
	a.log.Info("left", "held", a.openTransactions.Load(), "unfinished", err != nil)
	return nil
}

// waitUntilDrained shuts the server down and waits for its requests and for connections that other protocols have taken
// over, for as long as the longest transaction may take.
func (a *Agent) waitUntilDrained(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.longestTimeout())
	defer cancel()
	err := server.Shutdown(ctx)
	upgradedDone := make(chan struct{})
	go func() {
		defer close(upgradedDone)
		a.upgraded.Wait()
	}()
	select {
	case <-upgradedDone:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newServer bounds net/http's server against clients that send what is no request. It sets no ReadTimeout: that counts
// from the last response or the connection's start, and a client would seem to have left where it ran out during a
// transaction. net/http's own answer to OPTIONS * would pass for one of the agent's.
func (a *Agent) newServer() *http.Server {
	return &http.Server{
		Handler:                      a,
		ReadHeaderTimeout:            headerReadTimeout,
		WriteTimeout:                 headerReadTimeout + a.longestTimeout(),
		IdleTimeout:                  clientIdleTimeout,
		MaxHeaderBytes:               maxHeaderSize,
		DisableGeneralOptionsHandler: true,
		ConnState:                    a.clientConns.connStateChanged,
		ConnContext:                  a.clientConns.connContext,
		ErrorLog:                     log.New(serverErrorLog{&a.badRequestLog}, "", 0),
	}
}

// serverErrorLog takes the lines that net/http logs.
type serverErrorLog struct{ log *rateLimitedLog }

// Write logs one line.
func (l serverErrorLog) Write(line []byte) (int, error) {
	l.log.warn("http", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// longestTimeout is the longest that any transaction can take: the longest time-out of a workload, and a second at
// least.
func (a *Agent) longestTimeout() time.Duration {
	longest := time.Second
	for _, workload := range setting(a.station, "workloads", []string(nil)) {
		longest = max(longest, setting(a.station, "workload."+workload+".abandon", time.Duration(0)))
	}
	return longest
}
