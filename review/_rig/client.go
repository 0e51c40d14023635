package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var lastTry atomic.Int64

func newTryID() string { return fmt.Sprintf("%016x", 0x1000+lastTry.Add(1)) }

// answer is what a client has received.
type answer struct {
	status int // 0 if the connection ended without an answer
	seal   string
	body   string
	at     time.Time
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d, seal %q, body %.60q", a.status, a.seal, a.body)
}

// request sends one try on a new connection and returns the answer.
func (s *system) request(address, method, host, path, tryID string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("X-Sagelever-Try-Id", tryID)
	request.Header.Set("X-Sagelever-Time-Left-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	transport := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s.note("client sends %s %s %s%s to %s, deadline %v", tryID, method, host, path, address, deadline)
	resp, err := transport.RoundTrip(request)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	received := answer{
		status: resp.StatusCode, seal: resp.Header.Get("X-Sagelever-Server-Seal"), body: string(body), at: time.Now(), err: err,
	}
	s.note("client receives for %s: %v", tryID, received)
	return received
}
