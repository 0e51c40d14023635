package httpagent

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"sagelever/internal/tcp"
)

const (
	// drainDelay is how long new connections are accepted after shutdown begins: whatever routes clients here needs
	// some tenths of a second to notice the shutdown.
	drainDelay = 700 * time.Millisecond

	// answerWriteTime is how long an agent that shuts down waits for its last answers to be written.
	answerWriteTime = 200 * time.Millisecond

	// headerReadTimeout disconnects clients that send nothing or never complete their headers. Regular clients are much
	// faster.
	headerReadTimeout = 2 * time.Second

	// clientIdleTimeout closes a connection that is idle between requests, as some clients send one request and never
	// close the connection.
	clientIdleTimeout = 2 * time.Second

	// maxHeaderSize is several times the size of the protocol's headers; net/http adds another 4 KiB to it.
	maxHeaderSize = 4 << 10
)

// serve serves clients until ctx is canceled. It then closes each connection with its next response, stops accepting
// after drainDelay, and waits until all open requests are finished.
func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	server := a.newServer()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(tcp.CloseTrackingListener{Listener: listener}) }()
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

// waitUntilDrained shuts the server down and waits for its requests and for connections taken over by other protocols,
// for at most maxDrainTime.
func (a *Agent) waitUntilDrained(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.maxDrainTime())
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

// maxDrainTime returns how long after the agent has stopped listening a transaction may still be answered: it begins
// when its body has been read, lasts for the longest timeout and its grace, and its answer has to be written.
func (a *Agent) maxDrainTime() time.Duration {
	return bodyReadTimeout + a.longestTimeout() + a.AnswerGrace() + answerWriteTime
}

// newServer returns the HTTP server with limits against misbehaving clients. It sets no ReadTimeout: this timeout
// starts at the last response or the start of the connection, and if it expired during a transaction the client would
// appear to have disconnected. The general OPTIONS handler is disabled, as net/http's response to OPTIONS * would look
// like an answer of the agent.
func (a *Agent) newServer() *http.Server {
	return &http.Server{
		Handler:                      a,
		ReadHeaderTimeout:            headerReadTimeout,
		WriteTimeout:                 headerReadTimeout + a.longestTimeout(),
		IdleTimeout:                  clientIdleTimeout,
		MaxHeaderBytes:               maxHeaderSize,
		DisableGeneralOptionsHandler: true,
		ConnState:                    a.clientConns.connStateChanged,
		ConnContext:                  tcp.WithConn,
		ErrorLog:                     log.New(serverErrorLog{&a.badRequestLog}, "", 0),
	}
}

// serverErrorLog receives the lines that net/http logs.
type serverErrorLog struct{ log *rateLimitedLog }

// Write logs one line.
func (l serverErrorLog) Write(line []byte) (int, error) {
	l.log.warn("http", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// longestTimeout returns the longest time that a transaction can take: the longest timeout of all workloads, but at
// least 1 s.
func (a *Agent) longestTimeout() time.Duration {
	longest := time.Second
	for _, workload := range setting(a.station, "workloads", []string(nil)) {
		longest = max(longest, setting(a.station, "workload."+workload+".abandon", time.Duration(0)))
	}
	return longest
}
