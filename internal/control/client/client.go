// Package helm is an operator's side of the system: it calls the agents that serve steering, as every caller does, and
// writes for people what they tell.
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

	"sagelever/internal/control/drain"
)

const (
	callTimeout      = 3 * time.Second // for one agent: longer than it takes to ask all others
	initialBackoff   = 100 * time.Millisecond
	maxResponseBytes = 16 << 20 // bytes of an answer
)

// Client calls agents that serve steering, each contact in turn.
type Client struct {
	contacts []string
	http     *http.Client
	current  int // the contact that answered last
}

// New is a client that knows some contacts, as host:port. It follows two 307, as callers do.
func New(contacts []string) *Client {
	return &Client{contacts: contacts, http: &http.Client{Timeout: callTimeout, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("sent on more than twice")
		}
		return nil
	}}}
}

// RejectedError is an agent's 4xx: the order ends with it.
type RejectedError struct {
	Status       int
	Message      string
	Body         []byte
	MaybeApplied bool // an agent asked before gave no clear answer: it may have done what was asked
}

func (r *RejectedError) Error() string { return r.Message }

// Call makes a call until an agent gives it a clear answer or the context ends: after a failure, silence, a 5xx, 408 or 429
// the next contact is asked, with a pause that grows. A *Refused says that the order can't be.
func (c *Client) Call(ctx context.Context, call, target string, body []byte, out easyjson.Unmarshaler) error {
	if len(c.contacts) == 0 {
		return errors.New("no contact is known: name one with --at")
	}
	lastErr, maybeApplied := errors.New("no agent was asked"), false
	for backoff, attempts := initialBackoff, 0; ; attempts++ {
		if attempts > 0 && attempts%len(c.contacts) == 0 { // all were asked
			select {
			case <-time.After(backoff):
				backoff = min(2*backoff, time.Second)
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return errors.Wrap(lastErr, "no clear answer in time")
		}
		contact := c.contacts[c.current%len(c.contacts)]
		status, data, err := c.post(ctx, contact, call, target, body)
		switch {
		case err != nil:
			lastErr = err
		case status == http.StatusOK:
			if out == nil {
				return nil
			}
			return easyjson.Unmarshal(data, out)
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return &RejectedError{status, strings.TrimSpace(string(data)), data, maybeApplied}
		default:
			lastErr = errors.Errorf("%s: %d %s", contact, status, strings.TrimSpace(string(data)))
		}
		if opErr, ok := errors.Into[*net.OpError](err); !ok || opErr.Op != "dial" { // else it never got there
			maybeApplied = true
		}
		c.current++
	}
}

func (c *Client) post(ctx context.Context, contact, call, target string, body []byte) (int, []byte, error) {
	address := "http://" + contact + "/api/rpc?call=" + url.QueryEscape(call)
	if target != "" {
		address += "&of=" + url.QueryEscape(target)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}

// InsufficientCapacityError is a removal that was refused as it would leave too little room.
type InsufficientCapacityError struct{ drain.Response }

func (n *InsufficientCapacityError) Error() string {
	var text strings.Builder
	text.WriteString(n.Target + ": too little room would be left")
	for _, shortage := range n.Shortfalls {
		text.WriteString("\n  " + shortage.String())
	}
	if len(n.Unresponsive) > 0 {
		text.WriteString("\n  not in these figures, as they do not answer: " + strings.Join(n.Unresponsive, ", "))
	}
	return text.String()
}

// Drain has something get no new work. It returns *InsufficientCapacityError where too little would be left and force is not given.
func (c *Client) Drain(ctx context.Context, target string, force bool) (*drain.Response, error) {
	body, err := easyjson.Marshal(&drain.BeginRequest{Target: target, Force: force})
	if err != nil {
		return nil, err
	}
	response := &drain.Response{}
	err = c.Call(ctx, "drains.begin", "", body, response)
	if rejected, ok := errors.Into[*RejectedError](err); ok && rejected.Status == http.StatusConflict {
		if easyjson.Unmarshal(rejected.Body, response) == nil && len(response.Shortfalls) > 0 {
			return nil, &InsufficientCapacityError{*response}
		}
	}
	return response, err
}

// Undrain withdraws a drain. Where an agent without a clear answer may have done so already, the next finds none.
func (c *Client) Undrain(ctx context.Context, target string) error {
	err := c.Call(ctx, "drains.end", target, nil, nil)
	if rejected, ok := errors.Into[*RejectedError](err); ok && rejected.Status == http.StatusNotFound && rejected.MaybeApplied {
		return nil
	}
	return err
}

// ListDrains tells how far the drains have come: all, or the one that is named.
func (c *Client) ListDrains(ctx context.Context, target string) ([]drain.Progress, error) {
	response := &drain.ProgressList{}
	err := c.Call(ctx, "drains.read", target, nil, response)
	return response.Drains, err
}

// DrainGradually drains a target as there is room: whole where that can be, else one appliance after the other, each as soon as the
// others carry the load without it. Nothing is lost where it ends early: what is drained stays so, and another call goes on.
func (c *Client) DrainGradually(ctx context.Context, target string, report func(string)) error {
	_, err := c.Drain(ctx, target, false)
	shortage, insufficient := errors.Into[*InsufficientCapacityError](err)
	if !insufficient {
		return err
	}
	var drained []string
	for _, id := range shortage.Backends {
		for lastReport := ""; ; {
			_, err := c.Drain(ctx, id, false)
			if err == nil {
				report(id + " is drained")
				drained = append(drained, id)
				break
			}
			backendShortage, insufficient := errors.Into[*InsufficientCapacityError](err)
			if rejected, ok := errors.Into[*RejectedError](err); ok && rejected.Status == http.StatusNotFound {
				break // it has left by itself
			}
			if !insufficient {
				return errors.Wrapf(err, "drained so far: %s", strings.Join(drained, " "))
			}
			if message := backendShortage.Error(); message != lastReport {
				lastReport = message
				report(message)
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return errors.Wrapf(backendShortage, "drained so far: %s", strings.Join(drained, " "))
			}
		}
	}
	if _, err := c.Drain(ctx, target, false); err != nil { // one word in the place of many, and for those that come
		return err
	}
	for _, id := range drained {
		if id == target {
			continue
		}
		if err := c.Undrain(ctx, id); err != nil {
			return err
		}
	}
	return nil
}
