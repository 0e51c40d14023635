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

// reopen is the least time between two openings of a link that ends. One that has lasted is opened anew at once, as
// what is told meanwhile may be lost.
const reopen = 200 * time.Millisecond

// mostOpen bounds the links of one kind open at once: the platform takes 32 connections of all kinds.
const mostOpen = 4

// keepOpen keeps a link open that should always be so. One that ends is opened anew. After too long a silence, or on
// the word that addresses have changed, another is opened beside it, as what is told while there is none may be
// lost; the older ones are dropped once the newest speaks.
func keepOpen(ctx context.Context, log *slog.Logger, name string, silence time.Duration, anew <-chan struct{},
	open func(ctx context.Context, heard func()) error) {
	var links []context.CancelFunc // the newest last
	for ctx.Err() == nil {
		one, cancel := context.WithCancel(ctx)
		if links = append(links, cancel); len(links) > mostOpen {
			links[0]()
			links = links[1:]
		}
		heard, ended := make(chan struct{}, 1), make(chan error, 1)
		go func() {
			ended <- open(one, func() {
				select {
				case heard <- struct{}{}:
				default:
				}
			})
		}()
		began, quiet := time.Now(), time.NewTimer(silence)
		for newest := true; newest; {
			select {
			case <-heard:
				for _, drop := range links[:len(links)-1] {
					drop()
				}
				links = links[len(links)-1:]
				quiet.Reset(silence)
			case err := <-ended:
				newest = false
				cancel()
				links = links[:len(links)-1]
				if ctx.Err() == nil {
					log.Warn(name+"_ended", "error", err)
					pause(ctx, reopen-time.Since(began))
				}
			case <-anew:
				newest = false
			case <-quiet.C:
				newest = false
				log.Warn(name+"_silent", "after", silence)
			}
		}
		quiet.Stop()
	}
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
