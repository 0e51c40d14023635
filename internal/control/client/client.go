// Package client implements an operator's client of the control API, which changes the configuration and starts,
// monitors and ends drains. The client tries one controller after the other until it gets a definite response.
package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/calls"
)

const (
	// requestTimeout bounds a request to one controller, which may have to query all others.
	requestTimeout = 3 * time.Second

	// initialBackoff is the pause after the first round of all endpoints. It doubles after each further round, up to
	// maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second

	maxRedirects     = 2
	maxResponseBytes = 16 << 20
)

// ErrNoEndpoints is returned by calls of a client without endpoints.
var ErrNoEndpoints = errors.New("no controller address given: specify one with --at")

// Client calls the control API. It is not safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	next      int // index of the endpoint to call next, modulo their number; the last one with a definite response
}

// New returns a client of the controllers with the given addresses, each as host:port.
func New(endpoints []string) *Client {
	return &Client{
		endpoints: endpoints,
		http:      &http.Client{Timeout: requestTimeout, CheckRedirect: checkRedirect},
	}
}

func checkRedirect(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errors.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// RejectedError is a definite rejection, that is, a 4xx status except 408 and 429. Repeating the call would not help.
type RejectedError struct {
	Status  int
	Message string
	Body    []byte

	// MaybeApplied is set if another controller may have executed the call before, without a definite response.
	MaybeApplied bool
}

func (e *RejectedError) Error() string { return e.Message }

// Call makes an API call and decodes the response into out, unless out is nil. target is the call's target, if any.
//
// A call without a definite response (an error, a timeout, a 5xx, 408 or 429 status) is repeated at the next endpoint,
// with an exponential backoff after each round of all endpoints, until ctx ends. This is safe because operations are
// idempotent within the controllers' resend window. Call returns a *RejectedError if the call is rejected.
func (c *Client) Call(
	ctx context.Context, call calls.Name, target string, body []byte, out easyjson.Unmarshaler,
) error {
	if len(c.endpoints) == 0 {
		return ErrNoEndpoints
	}
	lastErr := errors.New("no request was sent")
	maybeApplied := false
	backoff := initialBackoff
	for attempts := 0; ; attempts++ {
		if attempts > 0 && attempts%len(c.endpoints) == 0 {
			wait(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		if ctx.Err() != nil {
			return errors.Wrap(lastErr, "no definite response in time")
		}
		endpoint := c.endpoints[c.next%len(c.endpoints)]
		resp, err := c.post(ctx, endpoint, call, target, body)
		switch {
		case err != nil:
			lastErr = err
		case resp.status == http.StatusOK:
			return resp.decode(out)
		case resp.rejected():
			return &RejectedError{
				Status:       resp.status,
				Message:      resp.text(),
				Body:         resp.body,
				MaybeApplied: maybeApplied,
			}
		default:
			lastErr = errors.Errorf("%s: %d %s", endpoint, resp.status, resp.text())
		}
		maybeApplied = maybeApplied || !isDialError(err)
		c.next++
	}
}

// isDialError reports whether a request failed before it was sent.
func isDialError(err error) bool {
	opErr, ok := errors.Into[*net.OpError](err)
	return ok && opErr.Op == "dial"
}

// wait waits for a duration, or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	body   []byte
}

func (r response) text() string { return strings.TrimSpace(string(r.body)) }

// rejected reports whether the response is a definite rejection.
func (r response) rejected() bool {
	if r.status == http.StatusRequestTimeout || r.status == http.StatusTooManyRequests {
		return false
	}
	return r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError
}

func (r response) decode(out easyjson.Unmarshaler) error {
	if out == nil {
		return nil
	}
	return easyjson.Unmarshal(r.body, out)
}

// post sends a call to one controller.
func (c *Client) post(
	ctx context.Context, endpoint string, call calls.Name, target string, body []byte,
) (response, error) {
	address := "http://" + endpoint + "/api/rpc?call=" + url.QueryEscape(string(call))
	if target != "" {
		address += "&of=" + url.QueryEscape(target)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response{status: resp.StatusCode, body: data}, err
}
