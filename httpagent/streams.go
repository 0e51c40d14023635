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

// newPlainTransport is a Transport that adds nothing of its own: no proxy, no compression, one request a connection.
func newPlainTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

// httpGet asks for a page; the caller closes the body of its answer.
func httpGet(ctx context.Context, transport *http.Transport, address, path string) (*http.Response, error) {
	u, err := url.Parse("http://" + address + path)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{Method: http.MethodGet, URL: u, Host: address, Header: http.Header{}}).WithContext(ctx)
	resp, err := transport.RoundTrip(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		err = fmt.Errorf("%s answered %s", path, resp.Status)
	}
	return resp, err
}

const maxLineSize = 4 << 20 // a whole list of a large fleet; more is no line but noise

// readLines reads an answer that stays open, a line at a time, until it ends or a line cannot be read. Every line,
// an empty one too, is a sign of life.
func readLines(ctx context.Context, transport *http.Transport, address, path string, handle func([]byte) error) error {
	resp, err := httpGet(ctx, transport, address, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), maxLineSize)
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

// reopenInterval is the least time between two openings of a link that ends. One that has lasted is opened anew at once, as
// what is told meanwhile may be lost.
const reopenInterval = 200 * time.Millisecond

// maxOpenStreams bounds the links of one kind open at once: the platform takes 32 connections of all kinds.
const maxOpenStreams = 4

// maintainStream keeps a link open that should always be so. One that ends is opened anew. After too long a silence, or on
// the word that addresses have changed, another is opened beside it, as what is told while there is none may be
// lost; the older ones are dropped once the newest speaks.
func maintainStream(ctx context.Context, log *slog.Logger, name string, timeout time.Duration, restart <-chan struct{},
	open func(ctx context.Context, received func()) error) {
	var streams []context.CancelFunc // the newest last
	for ctx.Err() == nil {
		streamCtx, cancel := context.WithCancel(ctx)
		if streams = append(streams, cancel); len(streams) > maxOpenStreams {
			streams[0]()
			streams = streams[1:]
		}
		received, ended := make(chan struct{}, 1), make(chan error, 1)
		go func() {
			ended <- open(streamCtx, func() {
				select {
				case received <- struct{}{}:
				default:
				}
			})
		}()
		startedAt, silence := time.Now(), time.NewTimer(timeout)
		for newest := true; newest; {
			select {
			case <-received:
				for _, drop := range streams[:len(streams)-1] {
					drop()
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

// sleep waits, or tells that the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
