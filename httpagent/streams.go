package httpagent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"time"
)

const (
	lineBufferSize = 16 << 10
	maxLineSize    = 4 << 20 // more than the full list of a large fleet

	// reopenInterval is the minimum interval between two openings of a stream. A stream that ends after a longer time
	// is reopened immediately, as events sent in between may be lost.
	reopenInterval = 200 * time.Millisecond

	// maxOpenStreams limits the parallel streams of one kind: the platform accepts 32 connections in total.
	maxOpenStreams = 4
)

// newPlainTransport returns a transport without a proxy, compression or keep-alive.
func newPlainTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

// httpGet requests a path and returns the response, whose body the caller must close. A status other than 200 is an
// error.
func httpGet(ctx context.Context, transport *http.Transport, address, path string) (*http.Response, error) {
	target, err := url.Parse("http://" + address + path)
	if err != nil {
		return nil, err
	}
	req := &http.Request{Method: http.MethodGet, URL: target, Host: address, Header: http.Header{}}
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s answered %s", path, resp.Status)
	}
	return resp, nil
}

// readLines reads a streaming response line by line until handle returns an error or the response ends, for which it
// returns io.EOF.
func readLines(
	ctx context.Context, transport *http.Transport, address, path string, handle func(line []byte) error,
) error {
	resp, err := httpGet(ctx, transport, address, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, lineBufferSize), maxLineSize)
	for lines.Scan() {
		if err := handle(bytes.TrimSpace(lines.Bytes())); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// handleLines returns a function that handles a line and then calls received. Every valid line, including an empty one,
// shows that the stream is alive.
func handleLines(handle func(line []byte) error, received func()) func(line []byte) error {
	return func(line []byte) error {
		if err := handle(line); err != nil {
			return err
		}
		received()
		return nil
	}
}

// openStream reads one stream until it ends or ctx is canceled, and calls received for each line.
type openStream func(ctx context.Context, received func()) error

// maintainStream keeps a stream open until ctx is canceled, and reopens it when it ends. If the newest stream is silent
// for the timeout, or restart signals a change of address, another one is opened in parallel, as events sent while none
// is open may be lost. The older ones are closed once the newest has received something.
func maintainStream(
	ctx context.Context, log *slog.Logger, name string, timeout time.Duration, restart <-chan struct{}, open openStream,
) {
	var streams []context.CancelFunc // newest last
	for ctx.Err() == nil {
		streamCtx, cancel := context.WithCancel(ctx)
		streams = append(streams, cancel)
		if len(streams) > maxOpenStreams {
			streams[0]()
			streams = streams[1:]
		}
		received := make(chan struct{}, 1)
		ended := make(chan error, 1)
		go func() { ended <- open(streamCtx, func() { notify(received) }) }()
		startedAt := time.Now()
		silence := time.NewTimer(timeout)
		for newest := true; newest; {
			select {
			case <-received:
				for _, closeOlder := range streams[:len(streams)-1] {
					closeOlder()
				}
				streams = streams[len(streams)-1:]
				silence.Reset(timeout)
			case err := <-ended:
				newest = false
				cancel()
				streams = streams[:len(streams)-1]
				if ctx.Err() == nil {
					log.Warn(name+"_ended", "error", err)
					sleep(ctx, reopenInterval-time.Since(startedAt))
				}
			case <-restart:
				newest = false
			case <-silence.C:
				newest = false
				log.Warn(name+"_silent", "after", timeout)
			}
		}
		silence.Stop()
	}
}

// notify sends a signal on a channel with a buffer of one. It does nothing if a signal is already pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
