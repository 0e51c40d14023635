// Package ws is the WebSocket side of an agent (RFC 6455): clients and backends, on the same engine, policy and rules
// as HTTP. Every message that asks for something is a transaction and gets one final answer. docs/websocket.md
// describes the protocol.
package ws

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"
)

// Subprotocols, with clients and with backends.
const (
	ClientProtocol  = "sagelever.v1"
	BackendProtocol = "sagelever.appliance.v1"
)

// A message is a head, which is one JSON object on one line, and after the end of that line a body, which passes
// unchanged. The head says how many bytes the body has: a connection that ends within a fragmented message delivers
// what had come as if that were all, and a part must pass neither for a request nor for a response.
const (
	maxHeadSize     = 4 << 10
	MaxBodySize     = 64 << 10 // bytes of a client's body, as for HTTP
	maxResponseSize = 16 * MaxBodySize
	maxIDLength     = 128
	maxTimeoutMS    = 1e7
	maxWorkHintUS   = 1e10
)

// Types of messages.
const (
	typeAsk       = "ask"
	typeSubscribe = "subscribe"
	typeCancel    = "cancel"

	typeSatisfied = "satisfied"
	typeDeferred  = "deferred"
	typeBrokenOff = "broken_off"
	typeError     = "error"
	typeGoingAway = "going_away"
	typePush      = "push"
	typeGap       = "gap"
	typeMoved     = "moved"
	typeEnded     = "ended"

	typeRun  = "run"
	typeDone = "done"
)

// ClientRequest is what a client sends.
type ClientRequest struct {
	Type        string              `json:"type"` // ask, subscribe, cancel
	ID          string              `json:"id"`
	Method      string              `json:"method,omitempty"` // GET if it is left out
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"` // for rules; passed on
	TimeoutMS   float64             `json:"timeout_ms,omitempty"`
	Idempotency string              `json:"idempotency,omitempty"`
	WorkHintUS  float64             `json:"hint_us,omitempty"`
	IsRetry     bool                `json:"retry,omitempty"`
	Topic       string              `json:"topic,omitempty"` // subscribe: to what
	After       uint64              `json:"after,omitempty"` // subscribe: the last number received, 0 for none
	Size        int                 `json:"size,omitempty"`  // bytes of the body
	Body        []byte              `json:"-"`
}

// ClientMessage is what a client receives.
type ClientMessage struct {
	Type        string  `json:"type"` // satisfied, deferred, broken_off, error, going_away; push, gap, moved, ended
	ID          string  `json:"id,omitempty"`
	RetryMS     float64 `json:"retry_ms,omitempty"` // when to return, 0 if that is not said
	ContentType string  `json:"content_type,omitempty"`
	Error       string  `json:"why,omitempty"`
	Topic       string  `json:"topic,omitempty"`
	Seq         uint64  `json:"seq,omitempty"`  // push: its number; gap: the first one that is missing
	Last        uint64  `json:"last,omitempty"` // gap: the last one that is missing
	Size        int     `json:"size,omitempty"` // bytes of the body
	Body        []byte  `json:"-"`
}

// BackendRequest is what a backend receives. It runs a request only if the body has Size bytes, so that one that was
// cut short never runs.
type BackendRequest struct {
	Type        string              `json:"type"` // run, cancel
	Send        uint64              `json:"send"` // names the request on its connection
	ID          string              `json:"id,omitempty"`
	Method      string              `json:"method,omitempty"`
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"`
	LeftUS      int64               `json:"left_us,omitempty"` // until the client gives up
	Idempotency string              `json:"idempotency,omitempty"`
	Topic       string              `json:"topic,omitempty"` // what follows the response is pushed, until a cancel
	After       uint64              `json:"after,omitempty"` // the last number received, 0 for none
	Size        int                 `json:"size"`            // bytes of the body
	Body        []byte              `json:"-"`
}

// BackendResponse is what a backend answers, and what it pushes.
type BackendResponse struct {
	Type        string `json:"type"`                  // done, push
	Send        uint64 `json:"send"`                  // of the request
	Status      int    `json:"status"`                // as HTTP's
	NotStarted  bool   `json:"not_started,omitempty"` // rejected before it was looked at: it has not run
	Load        string `json:"load,omitempty"`        // as HTTP's Server-Load
	ContentType string `json:"content_type,omitempty"`
	Seq         uint64 `json:"seq,omitempty"`  // push: from 1 on, in order for each topic, alike at every backend
	Size        int    `json:"size,omitempty"` // bytes of the body
	Body        []byte `json:"-"`
}

// Errors of messages that cannot be read. Their texts are sent to clients.
var (
	errNoHead       = errors.New("no head: one JSON object on the first line is wanted")
	errHeadNotUTF8  = errors.New("the head is no UTF-8")
	errSizeMismatch = errors.New("the body has another size than the head says")
	errBadID        = errors.New("an id of 1 to 128 bytes is wanted")
	errBadTopic     = errors.New("a topic of 1 to 128 bytes is wanted")
	errBodyTooLong  = errors.New("the body is too long")
	errBadPath      = errors.New("a path that begins with one slash is wanted")
	errBadTime      = errors.New("a time is no time")
)

// decodeMessage takes a message apart and reads its head.
func decodeMessage(message []byte, head any) (body []byte, err error) {
	line, body, ended := bytes.Cut(message, []byte{'\n'})
	if !ended || len(line) == 0 || len(line) > maxHeadSize {
		return nil, errNoHead
	}
	if !utf8.Valid(line) {
		return nil, errHeadNotUTF8
	}
	if err := json.Unmarshal(line, head); err != nil {
		return nil, fmt.Errorf("the head cannot be read: %w", err)
	}
	return body, nil
}

// encodeMessage writes a message.
func encodeMessage(head any, body []byte) []byte {
	line, err := json.Marshal(head)
	if err != nil { // numbers that JSON cannot write are refused before they get here
		line = []byte(`{"type":"error","why":"unwritable"}`)
	}
	return append(append(line, '\n'), body...)
}

// parseClientRequest reads and checks a client's message. If there is an error, the id is that of the message, as far
// as it could be read.
func parseClientRequest(message []byte) (request ClientRequest, err error) {
	if request.Body, err = decodeMessage(message, &request); err != nil {
		return request, err
	}
	if request.ID == "" || len(request.ID) > maxIDLength {
		return request, errBadID
	}
	switch request.Type {
	case typeCancel:
		return request, nil
	case typeSubscribe:
		if request.Topic == "" || len(request.Topic) > maxIDLength {
			return request, errBadTopic
		}
	case typeAsk:
	default:
		return request, fmt.Errorf("no such type: %.20q", request.Type)
	}
	if request.Method == "" {
		request.Method = http.MethodGet
	}
	return request, request.checkContent()
}

// checkContent checks what an ask and a subscribe have in common.
func (r ClientRequest) checkContent() error {
	switch {
	case r.Size != len(r.Body):
		return errSizeMismatch
	case len(r.Body) > MaxBodySize:
		return errBodyTooLong
	case !validPath(r.Path):
		return errBadPath
	case !(r.TimeoutMS >= 0 && r.TimeoutMS < maxTimeoutMS), !(r.WorkHintUS >= 0 && r.WorkHintUS < maxWorkHintUS):
		return errBadTime
	}
	return nil
}

// validPath reports whether a path begins with one slash.
func validPath(path string) bool {
	return len(path) > 0 && path[0] == '/' && (len(path) == 1 || path[1] != '/')
}

func (r ClientRequest) timeout() time.Duration {
	return time.Duration(r.TimeoutMS * float64(time.Millisecond))
}

func (r ClientRequest) workHint() time.Duration {
	return time.Duration(r.WorkHintUS * float64(time.Microsecond))
}

// parseBackendResponse reads and checks a backend's message. Anything else than a response or a push is an error.
func parseBackendResponse(message []byte) (response BackendResponse, err error) {
	if response.Body, err = decodeMessage(message, &response); err != nil {
		return response, err
	}
	if response.Size != len(response.Body) {
		return response, errSizeMismatch
	}
	if response.Type == typePush && response.Seq > 0 {
		return response, nil
	}
	if response.Type != typeDone || response.Status < 100 || response.Status > 599 {
		return response, fmt.Errorf("no answer: type %.20q, status %d", response.Type, response.Status)
	}
	return response, nil
}

// ParseBackendRequest reads what an agent sends to a backend. If it is not complete, the body was cut short and the
// request must not run.
func ParseBackendRequest(message []byte) (request BackendRequest, complete bool, err error) {
	if request.Body, err = decodeMessage(message, &request); err != nil {
		return request, false, err
	}
	return request, len(request.Body) == request.Size, nil
}

// ParseClientMessage reads what a client receives.
func ParseClientMessage(message []byte) (received ClientMessage, err error) {
	if received.Body, err = decodeMessage(message, &received); err != nil {
		return received, err
	}
	if received.Size != len(received.Body) {
		return received, errSizeMismatch
	}
	return received, nil
}

// Encode returns the message of a backend's response, and sets its size.
func (r BackendResponse) Encode() []byte {
	r.Size = len(r.Body)
	return encodeMessage(r, r.Body)
}

// Encode returns the message of a client's request, and sets its size.
func (r ClientRequest) Encode() []byte {
	r.Size = len(r.Body)
	return encodeMessage(r, r.Body)
}

// Encode returns the message to a client, and sets its size.
func (m ClientMessage) Encode() []byte {
	m.Size = len(m.Body)
	return encodeMessage(m, m.Body)
}
