package rpc

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// text is a message that consists of one string.
type text string

func (m text) MarshalEasyJSON(w *jwriter.Writer)  { w.String(string(m)) }
func (m *text) UnmarshalEasyJSON(l *jlexer.Lexer) { *m = text(l.String()) }

// startEcho starts a server that responds with the received message. wireBytes is the size of both bodies of the last
// call.
func startEcho(t *testing.T) (address string, wireBytes *int64) {
	t.Helper()
	wireBytes = new(int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*wireBytes = r.ContentLength
		var message text
		if r.URL.Path == "/missing" {
			http.NotFound(w, r)
			return
		}
		if ReadRequest(w, r, &message) {
			*wireBytes += int64(WriteResponse(w, message))
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), wireBytes
}

// A message is transferred unchanged. A large message is compressed in both directions.
func TestPost(t *testing.T) {
	address, wireBytes := startEcho(t)
	client := NewClient(nil)
	t.Cleanup(client.CloseIdleConnections)
	large := strings.Repeat("compressible ", 1000)
	for _, tt := range []struct {
		message      string
		maxWireBytes int
	}{
		{"small", 2 * len(`"small"`)},
		{large, len(large)},
	} {
		var echoed text
		body := []byte(`"` + tt.message + `"`)
		if err := Post(t.Context(), client, address, "/echo", body, &echoed); err != nil {
			t.Fatal(err)
		}
		if string(echoed) != tt.message {
			t.Errorf("sent %.20s, received %.20s", tt.message, echoed)
		}
		if *wireBytes > int64(tt.maxWireBytes) {
			t.Errorf("%.20s: %d bytes on the wire, want %d at most", tt.message, *wireBytes, tt.maxWireBytes)
		}
	}
}

// A status other than 200 is returned as a StatusError, and a malformed message gets a 400.
func TestPostErrors(t *testing.T) {
	address, _ := startEcho(t)
	client := NewClient(nil)
	t.Cleanup(client.CloseIdleConnections)
	for _, tt := range []struct{ path, body, wantStatus string }{
		{"/missing", `"text"`, "404 Not Found"},
		{"/echo", `{`, "400 Bad Request"},
	} {
		err := Post(t.Context(), client, address, tt.path, []byte(tt.body), nil)
		status, ok := errors.Into[*StatusError](err)
		if !ok || status.Status != tt.wantStatus || status.Path != tt.path {
			t.Errorf("%s: %v, want %s", tt.path, err, tt.wantStatus)
		}
	}
}

// A message of MaxMessageBytes is accepted. A larger one is rejected, however small its compressed form is.
func TestMessageTooLarge(t *testing.T) {
	tooLarge := make([]byte, MaxMessageBytes+1)
	largest := tooLarge[:MaxMessageBytes]
	if data, err := Decompress(bytes.NewReader(largest), ""); err != nil || len(data) != MaxMessageBytes {
		t.Errorf("the largest message: got %d bytes, %v", len(data), err)
	}
	if _, err := Decompress(bytes.NewReader(tooLarge), ""); !errors.Is(err, ErrTooLarge) {
		t.Errorf("one byte more: %v, want %v", err, ErrTooLarge)
	}
	compressed, encoding := Compress(tooLarge)
	if encoding != gzipEncoding || len(compressed) > MaxMessageBytes/100 {
		t.Errorf("one byte more, compressed: %d bytes with encoding %q", len(compressed), encoding)
	}
	if _, err := Decompress(bytes.NewReader(compressed), encoding); !errors.Is(err, ErrTooLarge) {
		t.Errorf("one byte more, compressed: %v, want %v", err, ErrTooLarge)
	}
}
