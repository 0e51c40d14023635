// Package helm is an operator's side of the system: it calls the agents that serve steering, as every caller does, and
// writes for people what they tell.
package helm

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

	"sagelever/ebb"
	"sagelever/plan"
)

const (
	patience = 3 * time.Second // for one agent: longer than it takes to ask all others
	pause    = 100 * time.Millisecond
	longest  = 16 << 20 // bytes of an answer
)

// Client calls agents that serve steering, each contact in turn.
type Client struct {
	contacts []string
	http     *http.Client
	at       int // the contact that answered last
}

// New is a client that knows some contacts, as host:port. It follows two 307, as callers do.
func New(contacts []string) *Client {
	return &Client{contacts: contacts, http: &http.Client{Timeout: patience, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("sent on more than twice")
		}
		return nil
	}}}
}

// Refused is an agent's 4xx: the order ends with it.
type Refused struct {
	Status  int
	Text    string
	Body    []byte
	Unclear bool // an agent asked before gave no clear answer: it may have done what was asked
}

func (r *Refused) Error() string { return r.Text }

// Call makes a call until an agent gives it a clear answer or the context ends: after a failure, silence, a 5xx, 408 or 429
// the next contact is asked, with a pause that grows. A *Refused says that the order can't be.
func (c *Client) Call(ctx context.Context, call, of string, body []byte, out easyjson.Unmarshaler) error {
	if len(c.contacts) == 0 {
		return errors.New("no contact is known: name one with --at")
	}
	last, unclear := errors.New("no agent was asked"), false
	for wait, tries := pause, 0; ; tries++ {
		if tries > 0 && tries%len(c.contacts) == 0 { // all were asked
			select {
			case <-time.After(wait):
				wait = min(2*wait, time.Second)
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			return errors.Wrap(last, "no clear answer in time")
		}
		contact := c.contacts[c.at%len(c.contacts)]
		status, data, err := c.once(ctx, contact, call, of, body)
		switch {
		case err != nil:
			last = err
		case status == http.StatusOK:
			if out == nil {
				return nil
			}
			return easyjson.Unmarshal(data, out)
		case status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return &Refused{status, strings.TrimSpace(string(data)), data, unclear}
		default:
			last = errors.Errorf("%s: %d %s", contact, status, strings.TrimSpace(string(data)))
		}
		if op, ok := errors.Into[*net.OpError](err); !ok || op.Op != "dial" { // else it never got there
			unclear = true
		}
		c.at++
	}
}

func (c *Client) once(ctx context.Context, contact, call, of string, body []byte) (int, []byte, error) {
	u := "http://" + contact + "/api/rpc?call=" + url.QueryEscape(call)
	if of != "" {
		u += "&of=" + url.QueryEscape(of)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, longest))
	return resp.StatusCode, data, err
}

// NoRoom is a removal that was refused as it would leave too little room.
type NoRoom struct{ ebb.Answer }

func (n *NoRoom) Error() string {
	var b strings.Builder
	b.WriteString(n.Target + ": too little room would be left")
	for _, s := range n.Short {
		b.WriteString("\n  " + s.String())
	}
	if len(n.Unheard) > 0 {
		b.WriteString("\n  not in these figures, as they do not answer: " + strings.Join(n.Unheard, ", "))
	}
	return b.String()
}

// Drain has something get no new work. It returns *NoRoom where too little would be left and force is not given.
func (c *Client) Drain(ctx context.Context, target string, force bool) (*ebb.Answer, error) {
	body, err := easyjson.Marshal(&plan.DrainWord{Target: target, Force: force})
	if err != nil {
		return nil, err
	}
	out := &ebb.Answer{}
	err = c.Call(ctx, "drains.begin", "", body, out)
	if r, ok := errors.Into[*Refused](err); ok && r.Status == http.StatusConflict {
		if easyjson.Unmarshal(r.Body, out) == nil && len(out.Short) > 0 {
			return nil, &NoRoom{*out}
		}
	}
	return out, err
}

// Undrain withdraws a drain. Where an agent without a clear answer may have done so already, the next finds none.
func (c *Client) Undrain(ctx context.Context, target string) error {
	err := c.Call(ctx, "drains.end", target, nil, nil)
	if r, ok := errors.Into[*Refused](err); ok && r.Status == http.StatusNotFound && r.Unclear {
		return nil
	}
	return err
}

// Drains tells how far the drains have come: all, or the one that is named.
func (c *Client) Drains(ctx context.Context, target string) ([]ebb.Progress, error) {
	out := &ebb.Listing{}
	err := c.Call(ctx, "drains.read", target, nil, out)
	return out.Drains, err
}

// Paced drains a target as there is room: whole where that can be, else one appliance after the other, each as soon as the
// others carry the load without it. Nothing is lost where it ends early: what is drained stays so, and another call goes on.
func (c *Client) Paced(ctx context.Context, target string, say func(string)) error {
	_, err := c.Drain(ctx, target, false)
	short, refused := errors.Into[*NoRoom](err)
	if !refused {
		return err
	}
	var done []string
	for _, id := range short.Backends {
		for told := ""; ; {
			_, err := c.Drain(ctx, id, false)
			if err == nil {
				say(id + " is drained")
				done = append(done, id)
				break
			}
			lack, refused := errors.Into[*NoRoom](err)
			if r, ok := errors.Into[*Refused](err); ok && r.Status == http.StatusNotFound {
				break // it has left by itself
			}
			if !refused {
				return errors.Wrapf(err, "drained so far: %s", strings.Join(done, " "))
			}
			if text := lack.Error(); text != told {
				told = text
				say(text)
			}
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return errors.Wrapf(lack, "drained so far: %s", strings.Join(done, " "))
			}
		}
	}
	if _, err := c.Drain(ctx, target, false); err != nil { // one word in the place of many, and for those that come
		return err
	}
	for _, id := range done {
		if id == target {
			continue
		}
		if err := c.Undrain(ctx, id); err != nil {
			return err
		}
	}
	return nil
}
