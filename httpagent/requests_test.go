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

// A request with a mistake is answered at once and never reaches the policy.
func TestBadRequests(t *testing.T) {
	_, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	for _, x := range []struct {
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
		if resp, _ := doRequest(t, x.method, url+x.path, x.body, x.headers...); resp.StatusCode != x.want {
			t.Errorf("%s %s %v: %d, want %d", x.method, x.path, x.headers, resp.StatusCode, x.want)
		}
	}
}

// A request that cannot be read, or does not end where it says, gets an error or a close, and nothing that is behind or
// inside it is taken for a request.
func TestUnreadableRequests(t *testing.T) {
	a, url := startAgent(t, newTestStation(t, ""), failOnTransaction(t))
	a.bodyBytes.Store(a.maxBodyBytes - 1000) // others have nearly all that bodies may take
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
		head + "Content-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), // there is no room for it now
		head + "Content-Length: 9999999999999999999999\r\n\r\n" + hidden,
		head + "Request-Id: other\r\n\r\n",
		head + "X: " + strings.Repeat("x", 3*maxHeaderSize),
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"\x00\x01 noise\r\n\r\n" + hidden,
		head + "Content-Length: 9\r\n\r\nhalf",
		"GET /lo",
		"",
	} {
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		write(c, text)
		if len(text) < 200 && !strings.Contains(text, hidden) {
			closeWrite(c)
		}
		in := bufio.NewReader(c)
		for more := false; ; more = true {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break // closed
			}
			if drain(resp.Body); resp.StatusCode < 400 || more {
				t.Errorf("%.80q is answered with %s, not the first: %v", text, resp.Status, more)
			}
		}
		c.Close()
	}
	for end := time.Now().Add(5 * time.Second); a.bodyBytes.Load() != a.maxBodyBytes-1000; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of bodies, want what others have", a.bodyBytes.Load())
		}
	}
	if a.badRequestLog.lastLine.IsZero() || a.badRequestLog.suppressed == 0 {
		t.Error("what came was not logged, or all of it was")
	}
}

// A client that says nothing, or only half of its request, is closed.
func TestServerBounds(t *testing.T) {
	s := New(newTestStation(t, "")).newServer()
	var bad requestError
	if long := (&http.Request{ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: maxBodySize + 1}); !errors.As(checkFraming(long), &bad) || bad.status != 413 {
		t.Errorf("a length above what is read: %+v", bad)
	}
	if s.ReadTimeout != 0 || s.ReadHeaderTimeout+bodyReadTimeout >= 3*time.Second || s.ReadHeaderTimeout == 0 ||
		s.IdleTimeout == 0 ||
		s.WriteTimeout < 2*time.Second {
		t.Errorf("%+v", s)
	}
}
