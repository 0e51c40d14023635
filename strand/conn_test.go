package strand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/go-faster/errors"
)

// asked sends a request on a connection at whose other end a script answers, and gives what http.Transport makes of it.
func asked(t *testing.T, script string) (status int, body string, err error) {
	l, err := Patience(1e9).Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, script)
		}
		c.Close()
	}()
	use := &Use{Ours: func(h http.Header) bool { return h.Get("Id") == "mine" }}
	terms := &Terms{Longest: 1 << 20}
	tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := Patience(1e9).Dialer(1e9).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c.(*net.TCPConn), terms), nil
	}}
	defer tr.CloseIdleConnections()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { i.Conn.(*Conn).Take(use) }})
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/", nil)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// answer is one answer with an id, said to have so many bytes.
func answer(id, body string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
}

// Only the awaited answer is handed on: one to another request in its place is passed over; what is cut, spoilt or too
// long is an error; what stands behind a whole answer never shows.
func TestOnlyTheAwaitedAnswer(t *testing.T) {
	for _, x := range []struct{ what, script, body string }{
		{"plain", answer("mine", "yes", 3), "yes"},
		{"a surplus answer before it", answer("other", "no", 2) + answer("mine", "yes", 3), "yes"},
		{"two before it", answer("other", "no", 2) + answer("third", "", 0) + answer("mine", "yes", 3), "yes"},
		{"a surplus answer behind it", answer("mine", "yes", 3) + answer("other", "no", 2), "yes"},
		{"only another's", answer("other", "no", 2), ""},
		{"another's without an end", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nno", ""},
		{"cut short", answer("mine", "ye", 3), ""},
		{"no answer at all", "\x00\x01noise\r\n\r\n", ""},
		{"noise behind a short length", answer("mine", "yes and more", 3), ""},
		{"too long", answer("mine", "", 1<<30), ""},
		{"a head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", MostHeads), ""},
		{"nothing", "", ""},
	} {
		status, body, err := asked(t, x.script)
		if (err == nil) != (x.body != "") || err == nil && (status != 200 || body != x.body) {
			t.Errorf("%s: %d %q %v", x.what, status, body, err)
		}
	}
	if _, _, err := asked(t, "noise\r\n\r\n"); !errors.Is(err, ErrSpoilt) {
		t.Errorf("noise: %v", err)
	}
}

// An answer to HEAD has no body, whatever length its head gives: what follows on the connection is the next answer, and is
// looked at like any other.
func TestAnswerToHead(t *testing.T) {
	for _, x := range []struct {
		what, next, body string
	}{
		{"its own", answer("two", "yes", 3), "yes"},
		{"another's", answer("other", "no", 2), ""},
	} {
		l, err := Patience(1e9).Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for _, script := range []string{answer("one", "", 2000), x.next} {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				io.WriteString(c, script)
			}
		}()
		tr := &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := Patience(1e9).Dialer(1e9).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return NewConn(c.(*net.TCPConn), &Terms{Longest: 1 << 20}), nil
		}}
		defer tr.CloseIdleConnections()
		ask := func(method, id string) (body string, reused bool, err error) {
			use := &Use{Ours: func(h http.Header) bool { return h.Get("Id") == id }}
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
				reused = i.Reused
				i.Conn.(*Conn).Take(use)
			}})
			req, _ := http.NewRequestWithContext(ctx, method, "http://"+l.Addr().String()+"/", nil)
			CarryBody(req, nil) // else the transport sends it again by itself
			resp, err := tr.RoundTrip(req)
			if err != nil {
				return "", reused, err
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			return string(b), reused, err
		}
		if _, _, err := ask(http.MethodHead, "one"); err != nil {
			t.Fatalf("%s: HEAD: %v", x.what, err)
		}
		if body, reused, err := ask(http.MethodGet, "two"); !reused || body != x.body || (err == nil) != (x.body != "") {
			t.Errorf("%s: %q %v, on the same connection: %v", x.what, body, err, reused)
		}
	}
}
