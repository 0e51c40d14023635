package httpagent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// plain is a Transport that adds nothing of its own: no proxy, no compression, one request a connection.
func plain(dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dial, KeepAlive: -1}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
}

// get asks for a page; the caller closes the body of its answer.
func get(ctx context.Context, by *http.Transport, address, path string) (*http.Response, error) {
	u, err := url.Parse("http://" + address + path)
	if err != nil {
		return nil, err
	}
	req := (&http.Request{Method: http.MethodGet, URL: u, Host: address, Header: http.Header{}}).WithContext(ctx)
	resp, err := by.RoundTrip(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		err = fmt.Errorf("%s answered %s", path, resp.Status)
	}
	return resp, err
}

const longestLine = 4 << 20 // a whole list of a large fleet; more is no line but noise

// follow reads an answer that stays open, a line at a time, until it ends or a line cannot be read. Every line,
// an empty one too, is a sign of life.
func follow(ctx context.Context, by *http.Transport, address, path string, line func([]byte) error) error {
	resp, err := get(ctx, by, address, path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 16<<10), longestLine)
	for lines.Scan() {
		if err := line(bytes.TrimSpace(lines.Bytes())); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// pause waits, or tells that the context has ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
