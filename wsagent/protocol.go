// Package wsagent is the WebSocket front: clients and appliances over RFC 6455, on the same engine, module and rules as
// HTTP. Every message that asks for something is a transaction and gets one final answer. docs/websocket.md has the
// protocol; this file reads and writes it.
package wsagent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

// Subprotocols, with clients and with appliances.
const (
	ClientProtocol    = "sagelever.v1"
	ApplianceProtocol = "sagelever.appliance.v1"
)

// A message is a head, which is one JSON object on one line, and after the line's end a body, which passes unchanged. The
// head says how many bytes the body has: a connection that ends in the midst of a message in fragments hands on what had
// come as if that were all, and a part must pass neither for what was asked nor for an answer.
const (
	mostHead = 4 << 10
	MostBody = 64 << 10 // as for HTTP
	mostID   = 128
)

// Ask is what a client sends.
type Ask struct {
	Type        string              `json:"type"` // ask, subscribe, cancel
	ID          string              `json:"id"`
	Method      string              `json:"method,omitempty"` // GET where left out
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"` // for rules; passed on
	TimeoutMS   float64             `json:"timeout_ms,omitempty"`
	Idempotency string              `json:"idempotency,omitempty"`
	HintUS      float64             `json:"hint_us,omitempty"`
	Retry       bool                `json:"retry,omitempty"`
	Topic       string              `json:"topic,omitempty"` // subscribe: to what
	After       uint64              `json:"after,omitempty"` // subscribe: the last number had, 0 for none
	Size        int                 `json:"size,omitempty"`  // bytes of the body
	Body        []byte              `json:"-"`
}

// Tell is what a client gets.
type Tell struct {
	Type    string  `json:"type"` // satisfied, deferred, broken_off, error, going_away; push, gap, moved, ended
	ID      string  `json:"id,omitempty"`
	RetryMS float64 `json:"retry_ms,omitempty"` // when to return, 0 if that is not said
	Kind    string  `json:"content_type,omitempty"`
	Why     string  `json:"why,omitempty"`
	Topic   string  `json:"topic,omitempty"`
	Seq     uint64  `json:"seq,omitempty"`  // push: its number; gap: the first one that is missing
	Last    uint64  `json:"last,omitempty"` // gap: the last one that is missing
	Size    int     `json:"size,omitempty"`
	Body    []byte  `json:"-"`
}

// Run is what an appliance gets. It runs a message only if its body has Size bytes: one that was cut short before its
// last byte never runs.
type Run struct {
	Type        string              `json:"type"` // run, cancel
	Send        uint64              `json:"send"` // names this send on this connection
	ID          string              `json:"id,omitempty"`
	Method      string              `json:"method,omitempty"`
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"`
	LeftUS      int64               `json:"left_us,omitempty"`
	Idempotency string              `json:"idempotency,omitempty"`
	Topic       string              `json:"topic,omitempty"` // what follows the answer is pushed, until a cancel
	After       uint64              `json:"after,omitempty"`
	Size        int                 `json:"size"`
	Body        []byte              `json:"-"`
}

// Done is what an appliance answers, and what it pushes.
type Done struct {
	Type       string `json:"type"` // done, push
	Send       uint64 `json:"send"`
	Status     int    `json:"status"`                // as HTTP's
	NotStarted bool   `json:"not_started,omitempty"` // turned away unlooked-at: it has not run
	Load       string `json:"load,omitempty"`        // as HTTP's Server-Load
	Kind       string `json:"content_type,omitempty"`
	Seq        uint64 `json:"seq,omitempty"` // push: from 1 on, in order for each topic at every appliance alike
	Size       int    `json:"size,omitempty"`
	Body       []byte `json:"-"`
}

var (
	errNoHead = errors.New("no head: one JSON object on the first line is wanted")
	errPart   = errors.New("the body has another size than the head says")
)

// split takes a message apart and reads its head.
func split(message []byte, head any) (body []byte, err error) {
	line, body, ended := bytes.Cut(message, []byte{'\n'})
	if !ended || len(line) == 0 || len(line) > mostHead {
		return nil, errNoHead
	}
	if !utf8.Valid(line) {
		return nil, errors.New("the head is no UTF-8")
	}
	if err := json.Unmarshal(line, head); err != nil {
		return nil, fmt.Errorf("the head cannot be read: %w", err)
	}
	return body, nil
}

// join writes a message.
func join(head any, body []byte) []byte {
	line, err := json.Marshal(head)
	if err != nil { // figures are checked before they get here
		line = []byte(`{"type":"error","why":"unwritable"}`)
	}
	return append(append(line, '\n'), body...)
}

// readAsk reads a client's message.
func readAsk(message []byte) (a Ask, err error) {
	if a.Body, err = split(message, &a); err != nil {
		return a, err
	}
	switch {
	case a.ID == "" || len(a.ID) > mostID:
		return a, errors.New("an id of 1 to 128 bytes is wanted")
	case a.Type == "cancel":
		return a, nil
	case a.Type == "subscribe" && (a.Topic == "" || len(a.Topic) > mostID):
		return a, errors.New("a topic of 1 to 128 bytes is wanted")
	case a.Type != "ask" && a.Type != "subscribe":
		return a, fmt.Errorf("no such type: %.20q", a.Type)
	case a.Size != len(a.Body):
		return a, errPart
	case len(a.Body) > MostBody:
		return a, errors.New("the body is too long")
	case len(a.Path) == 0 || a.Path[0] != '/' || len(a.Path) > 1 && a.Path[1] == '/':
		return a, errors.New("a path that begins with one slash is wanted")
	case !(a.TimeoutMS >= 0 && a.TimeoutMS < 1e7) || !(a.HintUS >= 0 && a.HintUS < 1e10):
		return a, errors.New("a time is no time")
	}
	if a.Method == "" {
		a.Method = "GET"
	}
	return a, nil
}

func (a Ask) timeout() time.Duration { return time.Duration(a.TimeoutMS * float64(time.Millisecond)) }
func (a Ask) hint() time.Duration    { return time.Duration(a.HintUS * float64(time.Microsecond)) }

// readDone reads an appliance's message. Anything else than an answer to a send is spoilt.
func readDone(message []byte) (d Done, err error) {
	if d.Body, err = split(message, &d); err != nil {
		return d, err
	}
	if d.Size != len(d.Body) {
		return d, errPart
	}
	if d.Type == "push" && d.Seq > 0 {
		return d, nil
	}
	if d.Type != "done" || d.Status < 100 || d.Status > 599 {
		return d, fmt.Errorf("no answer: type %.20q, status %d", d.Type, d.Status)
	}
	return d, nil
}

// ReadRun reads what an agent sends to an appliance. whole is false where the body was cut short: it must not run.
func ReadRun(message []byte) (r Run, whole bool, err error) {
	if r.Body, err = split(message, &r); err != nil {
		return r, false, err
	}
	return r, len(r.Body) == r.Size, nil
}

// Write gives the message for an appliance's answer.
func (d Done) Write() []byte {
	d.Size = len(d.Body)
	return join(d, d.Body)
}

// Write gives the message for what a client asks.
func (a Ask) Write() []byte {
	a.Size = len(a.Body)
	return join(a, a.Body)
}

// Write gives the message for what a client is told.
func (t Tell) Write() []byte {
	t.Size = len(t.Body)
	return join(t, t.Body)
}

// ReadTell reads what a client gets.
func ReadTell(message []byte) (t Tell, err error) {
	if t.Body, err = split(message, &t); err == nil && t.Size != len(t.Body) {
		err = errPart
	}
	return t, err
}
