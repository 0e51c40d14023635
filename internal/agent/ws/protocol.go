// Package wsagent is the WebSocket front: clients and appliances over RFC 6455, on the same engine, module and rules as
// HTTP. Every message that asks for something is a transaction and gets one final answer. docs/websocket.md has the
// protocol; this file reads and writes it.
package ws

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
	ClientProtocol  = "sagelever.v1"
	BackendProtocol = "sagelever.appliance.v1"
)

// A message is a head, which is one JSON object on one line, and after the line's end a body, which passes unchanged.
// The head says how many bytes the body has: a connection that ends in the midst of a message in fragments hands on
// what had come as if that were all, and a part must pass neither for what was asked nor for an answer.
const (
	maxHeadSize = 4 << 10
	MaxBodySize = 64 << 10 // as for HTTP
	maxIDLength = 128
)

// ClientRequest is what a client sends.
type ClientRequest struct {
	Type        string              `json:"type"` // ask, subscribe, cancel
	ID          string              `json:"id"`
	Method      string              `json:"method,omitempty"` // GET where left out
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"` // for rules; passed on
	TimeoutMS   float64             `json:"timeout_ms,omitempty"`
	Idempotency string              `json:"idempotency,omitempty"`
	WorkHintUS  float64             `json:"hint_us,omitempty"`
	IsRetry     bool                `json:"retry,omitempty"`
	Topic       string              `json:"topic,omitempty"` // subscribe: to what
	After       uint64              `json:"after,omitempty"` // subscribe: the last number had, 0 for none
	Size        int                 `json:"size,omitempty"`  // bytes of the body
	Body        []byte              `json:"-"`
}

// ClientMessage is what a client gets.
type ClientMessage struct {
	Type        string  `json:"type"` // satisfied, deferred, broken_off, error, going_away; push, gap, moved, ended
	ID          string  `json:"id,omitempty"`
	RetryMS     float64 `json:"retry_ms,omitempty"` // when to return, 0 if that is not said
	ContentType string  `json:"content_type,omitempty"`
	Error       string  `json:"why,omitempty"`
	Topic       string  `json:"topic,omitempty"`
	Seq         uint64  `json:"seq,omitempty"`  // push: its number; gap: the first one that is missing
	Last        uint64  `json:"last,omitempty"` // gap: the last one that is missing
	Size        int     `json:"size,omitempty"`
	Body        []byte  `json:"-"`
}

// BackendRequest is what an appliance gets. It runs a message only if its body has Size bytes: one that was cut short
// before its last byte never runs.
type BackendRequest struct {
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

// BackendResponse is what an appliance answers, and what it pushes.
type BackendResponse struct {
	Type        string `json:"type"` // done, push
	Send        uint64 `json:"send"`
	Status      int    `json:"status"`                // as HTTP's
	NotStarted  bool   `json:"not_started,omitempty"` // turned away unlooked-at: it has not run
	Load        string `json:"load,omitempty"`        // as HTTP's Server-Load
	ContentType string `json:"content_type,omitempty"`
	Seq         uint64 `json:"seq,omitempty"` // push: from 1 on, in order for each topic at every appliance alike
	Size        int    `json:"size,omitempty"`
	Body        []byte `json:"-"`
}

var (
	errNoHead       = errors.New("no head: one JSON object on the first line is wanted")
	errSizeMismatch = errors.New("the body has another size than the head says")
)

// decodeMessage takes a message apart and reads its head.
func decodeMessage(message []byte, head any) (body []byte, err error) {
	line, body, ended := bytes.Cut(message, []byte{'\n'})
	if !ended || len(line) == 0 || len(line) > maxHeadSize {
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

// encodeMessage writes a message.
func encodeMessage(head any, body []byte) []byte {
	line, err := json.Marshal(head)
	if err != nil { // figures are checked before they get here
		line = []byte(`{"type":"error","why":"unwritable"}`)
	}
	return append(append(line, '\n'), body...)
}

// parseClientRequest reads a client's message.
func parseClientRequest(message []byte) (request ClientRequest, err error) {
	if request.Body, err = decodeMessage(message, &request); err != nil {
		return request, err
	}
	switch {
	case request.ID == "" || len(request.ID) > maxIDLength:
		return request, errors.New("an id of 1 to 128 bytes is wanted")
	case request.Type == "cancel":
		return request, nil
	case request.Type == "subscribe" && (request.Topic == "" || len(request.Topic) > maxIDLength):
		return request, errors.New("a topic of 1 to 128 bytes is wanted")
	case request.Type != "ask" && request.Type != "subscribe":
		return request, fmt.Errorf("no such type: %.20q", request.Type)
	case request.Size != len(request.Body):
		return request, errSizeMismatch
	case len(request.Body) > MaxBodySize:
		return request, errors.New("the body is too long")
	case len(request.Path) == 0 || request.Path[0] != '/' || len(request.Path) > 1 && request.Path[1] == '/':
		return request, errors.New("a path that begins with one slash is wanted")
	case !(request.TimeoutMS >= 0 && request.TimeoutMS < 1e7) || !(request.WorkHintUS >= 0 && request.WorkHintUS < 1e10):
		return request, errors.New("a time is no time")
	}
	if request.Method == "" {
		request.Method = "GET"
	}
	return request, nil
}

func (a ClientRequest) timeout() time.Duration {
	return time.Duration(a.TimeoutMS * float64(time.Millisecond))
}
func (a ClientRequest) workHint() time.Duration {
	return time.Duration(a.WorkHintUS * float64(time.Microsecond))
}

// parseBackendResponse reads an appliance's message. Anything else than an answer to a send is spoilt.
func parseBackendResponse(message []byte) (response BackendResponse, err error) {
	if response.Body, err = decodeMessage(message, &response); err != nil {
		return response, err
	}
	if response.Size != len(response.Body) {
		return response, errSizeMismatch
	}
	if response.Type == "push" && response.Seq > 0 {
		return response, nil
	}
	if response.Type != "done" || response.Status < 100 || response.Status > 599 {
		return response, fmt.Errorf("no answer: type %.20q, status %d", response.Type, response.Status)
	}
	return response, nil
}

// ParseBackendRequest reads what an agent sends to an appliance. whole is false where the body was cut short: it must
// not run.
func ParseBackendRequest(message []byte) (request BackendRequest, complete bool, err error) {
	if request.Body, err = decodeMessage(message, &request); err != nil {
		return request, false, err
	}
	return request, len(request.Body) == request.Size, nil
}

// Encode gives the message for an appliance's answer.
func (d BackendResponse) Encode() []byte {
	d.Size = len(d.Body)
	return encodeMessage(d, d.Body)
}

// Encode gives the message for what a client asks.
func (a ClientRequest) Encode() []byte {
	a.Size = len(a.Body)
	return encodeMessage(a, a.Body)
}

// Encode gives the message for what a client is told.
func (t ClientMessage) Encode() []byte {
	t.Size = len(t.Body)
	return encodeMessage(t, t.Body)
}

// ParseClientMessage reads what a client gets.
func ParseClientMessage(message []byte) (t ClientMessage, err error) {
	if t.Body, err = decodeMessage(message, &t); err == nil && t.Size != len(t.Body) {
		err = errSizeMismatch
	}
	return t, err
}
