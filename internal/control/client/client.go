// Package client is an operator's client of the control API: it changes the configuration, and begins, follows and ends
// drains. It calls one controller after the other until it gets a definite response.
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
	// requestTimeout bounds a request to one controller, which may have to ask all others.
	requestTimeout = 3 * time.Second

	// initialBackoff is the pause after all controllers have been asked once. It doubles each time, up to maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second

	maxRedirects     = 2
	maxResponseBytes = 16 << 20
)

// ErrNoEndpoints is returned by a client that was given no address.
var ErrNoEndpoints = errors.New("no contact is known: name one with --at")

// Client calls the control API. It is not safe for concurrent use.
type Client struct {
	contacts []string
	http     *http.Client
	next     int // index of the contact to ask next, modulo their number: the one that has responded last
}

// New returns a client of the controllers at some addresses, as host:port.
func New(contacts []string) *Client {
	return &Client{
		contacts: contacts,
		http:     &http.Client{Timeout: requestTimeout, CheckRedirect: checkRedirect},
	}
}

func checkRedirect(_ *http.Request, via []*http.Request) error {
	if len(via) > maxRedirects {
		return errors.Errorf("more than %d redirects", maxRedirects)
	}
	return nil
}

// RejectedError is a definite rejection, which repeating the call would not change: a 4xx except 408 and 429.
type RejectedError struct {
	Status  int
	Message string
	Body    []byte

	// MaybeApplied is set if another controller may have carried out the call before, without a definite response.
	MaybeApplied bool
}

func (e *RejectedError) Error() string { return e.Message }

// Call makes an API call and decodes the response into out, unless that is nil. target is what the call is about;
// it may be empty. A call without a definite response (an error, a time-out, a 5xx, 408 or 429) is repeated at the next
// contact, with a growing pause after each round of all contacts, until ctx ends. Operations are idempotent within the
// controllers' resend window. Call returns a *RejectedError if the call is rejected.
func (c *Client) Call(
	ctx context.Context, call calls.Name, target string, body []byte, out easyjson.Unmarshaler,
) error {
	if len(c.contacts) == 0 {
		return ErrNoEndpoints
	}
	lastErr := errors.New("no controller was asked")
	maybeApplied := false
	backoff := initialBackoff
	for attempts := 0; ; attempts++ {
		if attempts > 0 && attempts%len(c.contacts) == 0 {
			wait(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
		if ctx.Err() != nil {
			return errors.Wrap(lastErr, "no definite response in time")
		}
		contact := c.contacts[c.next%len(c.contacts)]
		resp, err := c.post(ctx, contact, call, target, body)
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
			lastErr = errors.Errorf("%s: %d %s", contact, resp.status, resp.text())
		}
		maybeApplied = maybeApplied || !isDialError(err)
		c.next++
	}
}

// isDialError reports whether a request has failed before it was sent.
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

// response is an HTTP response that was read to its end.
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
	return r.status >= 400 && r.status < 500
}

func (r response) decode(out easyjson.Unmarshaler) error {
	if out == nil {
		return nil
	}
	return easyjson.Unmarshal(r.body, out)
}

// post sends a call to one controller.
func (c *Client) post(
	ctx context.Context, contact string, call calls.Name, target string, body []byte,
) (response, error) {
	address := "http://" + contact + "/api/rpc?call=" + url.QueryEscape(string(call))
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
