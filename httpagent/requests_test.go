package httpagent

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// An invalid request is rejected immediately and never reaches the policy.
func TestBadRequests(t *testing.T) {
	_, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	for _, test := range []struct {
		method, path, body string
		headers            []string
		want               int
	}{
		{"GET", "/", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/unknown", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/look%2Fx", "", []string{"Request-Id", "r"}, 404},
		{"GET", "//look", "", []string{"Request-Id", "r"}, 404},
		{"GET", "/look", "", nil, 400},
		{"POST", "/look", "", []string{"Request-Id", "r"}, 405},
		{"GET", "/once", "", []string{"Request-Id", "r"}, 405},
		{"POST", "/keep", "", []string{"Request-Id", "r"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "480"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "-1m"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "NaNm"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "much"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "NaN"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "-1"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Work-Hint", "1e300"}, 400},
		{"GET", "/look", "", []string{"Request-Id", "r", "Request-Timeout", "48mm"}, 400},
		{"GET", "/look", "body", []string{"Request-Id", "r"}, 400},
	} {
		if resp, _ := doRequest(t, test.method, url+test.path, test.body, test.headers...); resp.StatusCode != test.want {
			t.Errorf("%s %s %v: %d, want %d", test.method, test.path, test.headers, resp.StatusCode, test.want)
		}
	}
}

// A malformed or ambiguously framed request gets an error response or a close, and no bytes inside or after it are
// handled as another request.
func TestUnreadableRequests(t *testing.T) {
	agent, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	agent.bodyBytes.Store(agent.maxBodyBytes - 1000) // other requests hold nearly all the memory for bodies
	const head = "POST /once HTTP/1.1\r\nHost: x\r\nRequest-Id: r\r\n"
	const hidden = "GET /look HTTP/1.1\r\nHost: x\r\nRequest-Id: hidden\r\n\r\n"
	for _, text := range []string{
		head + "Content-Length: 63\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"POST /_health HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 58\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		head + "Content-Length: -1\r\n\r\n" + hidden,
		head + "Content-Length: 1\r\nContent-Length: 9\r\n\r\n" + hidden,
		head + "Content-Length: 60000000\r\n\r\n" + hidden,
		head + "Content-Length: 65537\r\n\r\n" + hidden,
		head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), // exceeds the memory limit
		head + "Content-Length: 9999999999999999999999\r\n\r\n" + hidden,
		head + "Request-Id: other\r\n\r\n",
		head + "X: " + strings.Repeat("x", 3*maxHeaderSize),
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"\x00\x01 noise\r\n\r\n" + hidden,
		head + "Content-Length: 9\r\n\r\nhalf",
		"GET /lo",
		"",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		write(conn, text)
		if len(text) < 200 && !strings.Contains(text, hidden) {
			closeWrite(conn)
		}
		reader := bufio.NewReader(conn)
		for answered := false; ; answered = true {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break // closed
			}
			if drain(resp.Body); resp.StatusCode < 400 || answered {
				t.Errorf("%.80q was answered with %s, after another response: %v", text, resp.Status, answered)
			}
		}
		conn.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); agent.bodyBytes.Load() !=
		agent.maxBodyBytes-1000; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes of bodies are held, want only those of other requests", agent.bodyBytes.Load())
		}
	}
	if agent.badRequestLog.lastLine.IsZero() || agent.badRequestLog.suppressed == 0 {
		t.Error("rejected requests were not logged, or not rate-limited")
	}
}

// The server limits how long it waits for silent clients and incomplete requests.
func TestServerBounds(t *testing.T) {
	server := New(newTestStation(t, "")).newServer()
	var invalid requestError
	if tooLong := (&http.Request{ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: maxBodySize + 1}); !errors.As(checkFraming(tooLong), &invalid) || invalid.status != 413 {
		t.Errorf("a length above the limit: %+v", invalid)
	}
	if server.ReadTimeout != 0 || server.ReadHeaderTimeout+bodyReadTimeout >= 3*time.Second ||
		server.ReadHeaderTimeout == 0 || server.IdleTimeout == 0 ||
		server.WriteTimeout < 2*time.Second {
		t.Errorf("%+v", server)
	}
}
