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
	maxLineSize    = 4 << 20 // more than the whole list of a large fleet

	// reopenInterval is the least time between two openings of a stream that ends. One that has lasted longer is opened
	// again at once, as what is sent meanwhile may be lost.
	reopenInterval = 200 * time.Millisecond

	// maxOpenStreams bounds the streams of one kind: the platform takes 32 connections of all kinds.
	maxOpenStreams = 4
)

// newPlainTransport is a transport that adds nothing of its own: no proxy, no compression, one request a connection.
func newPlainTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

// httpGet requests a path. A status other than 200 is an error; the caller closes the response's body.
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

// readLines reads a response that stays open, line by line, until it ends, which is io.EOF, or handle returns an error.
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

// handleLines handles each line and then calls received. Every line that can be read shows that the stream is alive, an
// empty one too.
func handleLines(handle func(line []byte) error, received func()) func(line []byte) error {
	return func(line []byte) error {
		if err := handle(line); err != nil {
			return err
		}
		received()
		return nil
	}
}

// openStream reads one stream until it ends or its context does, and calls received for everything that comes.
type openStream func(ctx context.Context, received func()) error

// maintainStream keeps a stream open until the context ends. One that ends is opened again. When the newest one has
// been silent for the timeout, or restart says that the address has changed, another is opened beside it, as what is
// sent while there is none may be lost; the older ones are closed once the newest has received something.
func maintainStream(
	ctx context.Context, log *slog.Logger, name string, timeout time.Duration, restart <-chan struct{}, open openStream,
) {
	var streams []context.CancelFunc // the newest last
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

// notify leaves a signal on a channel that has room for one. One that has not been received yet is enough.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// sleep waits, and reports whether the context lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
