// Package ws implements WebSocket (RFC 6455) for clients and backends of an agent, with the same engine, policy and
// rules as HTTP. Every ask or subscribe message of a client is a transaction and gets exactly one final answer.
// docs/websocket.md describes the protocol.
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

// WebSocket subprotocols for clients and for backends.
const (
	ClientProtocol  = "sagelever.v1"
	BackendProtocol = "sagelever.appliance.v1"
)

// A message consists of a head, which is a JSON object on one line, and a body, which is forwarded unchanged. The head
// gives the size of the body, because a connection that ends within a fragmented message delivers the received part
// like a complete message, and a partial request or response must not be accepted.
const (
	maxHeadSize     = 4 << 10
	MaxBodySize     = 64 << 10 // bytes of a request body, as for HTTP
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

// ClientRequest is a message from a client.
type ClientRequest struct {
	Type        string              `json:"type"` // ask, subscribe, cancel
	ID          string              `json:"id"`
	Method      string              `json:"method,omitempty"` // GET if empty
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"` // for rules; forwarded to the backend
	TimeoutMS   float64             `json:"timeout_ms,omitempty"`
	Idempotency string              `json:"idempotency,omitempty"`
	WorkHintUS  float64             `json:"hint_us,omitempty"`
	IsRetry     bool                `json:"retry,omitempty"`
	Topic       string              `json:"topic,omitempty"` // subscribe: the topic
	After       uint64              `json:"after,omitempty"` // subscribe: last sequence number received, 0 for none
	Size        int                 `json:"size,omitempty"`  // bytes of the body
	Body        []byte              `json:"-"`
}

// ClientMessage is a message to a client.
type ClientMessage struct {
	Type        string  `json:"type"` // satisfied, deferred, broken_off, error, going_away; push, gap, moved, ended
	ID          string  `json:"id,omitempty"`
	RetryMS     float64 `json:"retry_ms,omitempty"` // when to retry or reconnect, 0 if unspecified
	ContentType string  `json:"content_type,omitempty"`
	Error       string  `json:"why,omitempty"`
	Topic       string  `json:"topic,omitempty"`
	Seq         uint64  `json:"seq,omitempty"`  // push: its sequence number; gap: the first missing one
	Last        uint64  `json:"last,omitempty"` // gap: the last missing one
	Size        int     `json:"size,omitempty"` // bytes of the body
	Body        []byte  `json:"-"`
}

// BackendRequest is a message to a backend. The backend must run a request only if the body has Size bytes, so that a
// truncated request never runs.
type BackendRequest struct {
	Type        string              `json:"type"` // run, cancel
	Number      uint64              `json:"send"` // number of the request on its connection
	ID          string              `json:"id,omitempty"`
	Method      string              `json:"method,omitempty"`
	Path        string              `json:"path,omitempty"`
	Key         string              `json:"key,omitempty"`
	Header      map[string][]string `json:"header,omitempty"`
	LeftUS      int64               `json:"left_us,omitempty"` // until the client stops waiting
	Idempotency string              `json:"idempotency,omitempty"`
	Topic       string              `json:"topic,omitempty"` // subscription: pushes follow the response until a cancel
	After       uint64              `json:"after,omitempty"` // last sequence number received, 0 for none
	Size        int                 `json:"size"`            // bytes of the body
	Body        []byte              `json:"-"`
}

// BackendResponse is a response or a push from a backend.
type BackendResponse struct {
	Type        string `json:"type"`                  // done, push
	Number      uint64 `json:"send"`                  // number of the request
	Status      int    `json:"status"`                // HTTP status
	NotStarted  bool   `json:"not_started,omitempty"` // rejected before it was started, so it has not run
	Load        string `json:"load,omitempty"`        // load report, as in the Server-Load header
	ContentType string `json:"content_type,omitempty"`
	Seq         uint64 `json:"seq,omitempty"`  // push: sequence number, from 1 for each topic, the same at every backend
	Size        int    `json:"size,omitempty"` // bytes of the body
	Body        []byte `json:"-"`
}

// Errors of invalid messages. The texts are sent to clients.
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

// decodeMessage splits a message into head and body, and decodes the head.
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

// encodeMessage returns the message with the given head and body.
func encodeMessage(head any, body []byte) []byte {
	line, err := json.Marshal(head)
	if err != nil { // not reached: numbers that JSON cannot encode are rejected earlier
		line = []byte(`{"type":"error","why":"unwritable"}`)
	}
	return append(append(line, '\n'), body...)
}

// parseClientRequest decodes and validates a client's message. If there is an error, the ID of the returned request is
// set if it could be decoded.
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

// checkContent validates the fields that ask and subscribe have in common.
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

// validPath reports whether a path begins with exactly one slash.
func validPath(path string) bool {
	return len(path) > 0 && path[0] == '/' && (len(path) == 1 || path[1] != '/')
}

func (r ClientRequest) timeout() time.Duration {
	return time.Duration(r.TimeoutMS * float64(time.Millisecond))
}

func (r ClientRequest) workHint() time.Duration {
	return time.Duration(r.WorkHintUS * float64(time.Microsecond))
}

// parseBackendResponse decodes and validates a backend's message, which must be a response or a push.
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
		return response, fmt.Errorf("invalid response: type %.20q, status %d", response.Type, response.Status)
	}
	return response, nil
}

// ParseBackendRequest decodes a message from an agent to a backend. If complete is false, the body is truncated and the
// request must not run.
func ParseBackendRequest(message []byte) (request BackendRequest, complete bool, err error) {
	if request.Body, err = decodeMessage(message, &request); err != nil {
		return request, false, err
	}
	return request, len(request.Body) == request.Size, nil
}

// ParseClientMessage decodes a message to a client.
func ParseClientMessage(message []byte) (received ClientMessage, err error) {
	if received.Body, err = decodeMessage(message, &received); err != nil {
		return received, err
	}
	if received.Size != len(received.Body) {
		return received, errSizeMismatch
	}
	return received, nil
}

// Encode returns the encoded response with its size set.
func (r BackendResponse) Encode() []byte {
	r.Size = len(r.Body)
	return encodeMessage(r, r.Body)
}

// Encode returns the encoded request with its size set.
func (r ClientRequest) Encode() []byte {
	r.Size = len(r.Body)
	return encodeMessage(r, r.Body)
}

// Encode returns the encoded message with its size set.
func (m ClientMessage) Encode() []byte {
	m.Size = len(m.Body)
	return encodeMessage(m, m.Body)
}
