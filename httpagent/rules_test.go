package httpagent

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"sagelever/internal/agent/api"
	"sagelever/match"
	"sagelever/match/rules"
)

func compileRules(t *testing.T, s *Station, list ...rules.Rule) *rules.Set {
	t.Helper()
	set, err := rules.Compile(list, s.Deployment(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// deferAll is a policy that passes on what it accepts, and defers it at once.
func deferAll(taken chan<- api.TransactionAccepted) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if x, ok := event.(api.TransactionAccepted); ok {
			taken <- x
			return []api.Action{api.DeferTransaction{Transaction: x.ID}}
		}
		return nil
	}
}

// Rules decide what the policy is told of a request; where none matches, the protocol does. What they refuse, or what
// does not fit the workload that they name, never becomes a transaction.
func TestRules(t *testing.T) {
	s := newTestStation(t, listBody(1, true))
	s.Rules = compileRules(t, s,
		rules.Rule{Name: "api", When: `segments[0] == "api"`, Workload: `segments[1]`, Key: `query["user"]`,
			Cost: `duration("7ms")`, Otherwise: "refuse"},
		rules.Rule{Name: "org", When: `"x-org" in header && cookie[?"k"].orValue("") != "plain"`,
			Customer: `header["x-org"]`, Key: `"org/" + header["x-org"]`})
	taken := make(chan api.TransactionAccepted, 1)
	_, url := startAgent(t, s, deferAll(taken))
	for _, x := range []struct {
		method, path string
		headers      []string
		status       int
		want         api.TransactionAccepted
	}{
		{"GET", "/api/look/1?user=u1", nil, 503, api.TransactionAccepted{Workload: "look", Key: "u1", Cost: 7e6,
			CostKnown: true}},
		{"POST", "/api/keep/1?user=u2", []string{"Idempotency-Key", "i"}, 503, api.TransactionAccepted{Workload: "keep",
			Key: "u2", Cost: 7e6, CostKnown: true}},
		{"POST", "/api/once/1?user=u3", nil, 503, api.TransactionAccepted{Workload: "once", Key: "u3", Cost: 7e6,
			CostKnown: true}},
		// no idempotency key: a repeat would not be recognized
		{"POST", "/api/keep/1?user=u2", nil, 400, api.TransactionAccepted{}},
		{"POST", "/api/look/1?user=u2", []string{"Idempotency-Key", "i"}, 400, api.TransactionAccepted{}},
		{"GET", "/api/look/1", nil, 400, api.TransactionAccepted{}},
		{"GET", "/api/look/1?user=a&user=b", nil, 400, api.TransactionAccepted{}},
		{"GET", "/api/look/1?user=a;b", nil, 400, api.TransactionAccepted{}},
		{"GET", "/api/fly/1?user=a", nil, 400, api.TransactionAccepted{}},
		{"PUT", "/api/once/1?user=a", nil, 405, api.TransactionAccepted{}},
		{"GET", "/look/1", []string{"X-Org", "c", "Cookie", "k=mine"}, 503, api.TransactionAccepted{Workload: "look",
			Customer: "c", Key: "org/c"}},
		{"GET", "/look/1", []string{"X-Org", "c", "Cookie", "k=plain"}, 503, api.TransactionAccepted{Workload: "look",
			Key: "plain"}},
		{"GET", "/look/1", []string{"X-Org", "stranger", "Cookie", "k=mine"}, 503, api.TransactionAccepted{Workload: "look",
			Key: "mine"}},
		{"GET", "/once/1", []string{"X-Org", "c"}, 405, api.TransactionAccepted{}},
		{"GET", "/fly/1", nil, 404, api.TransactionAccepted{}},
		{"GET", "/look/1", []string{"X-Org", strings.Repeat("c", rules.MaxTextLength+1)}, 400, api.TransactionAccepted{}},
	} {
		resp, body := doRequest(t, x.method, url+x.path, "", append(x.headers, "Request-Id", "r")...)
		if resp.StatusCode != x.status {
			t.Errorf("%s %s %v: %d %q, want %d", x.method, x.path, x.headers, resp.StatusCode, body, x.status)
		}
		var got api.TransactionAccepted
		select {
		case got = <-taken:
		default:
		}
		got.ID, got.Timeout = "", 0
		if got != x.want {
			t.Errorf("%s %s %v: %+v, want %+v", x.method, x.path, x.headers, got, x.want)
		}
	}
}

// How repeatable a request is depends on its method, its idempotency key and the path's workload together.
func TestSent(t *testing.T) {
	s := newTestStation(t, listBody(1, true))
	for line, want := range map[string]match.Repeatable{
		"GET /x HTTP/1.1\r\n\r\n": match.Pure, "GET /look HTTP/1.1\r\n\r\n": match.Pure,
		"GET /keep HTTP/1.1\r\n\r\n": match.Receipted,
		"GET /once HTTP/1.1\r\n\r\n": match.Effectful, "POST /x HTTP/1.1\r\n\r\n": match.Effectful,
		"HEAD /x HTTP/1.1\r\n\r\n":                          match.Effectful,
		"POST /x HTTP/1.1\r\nIdempotency-Key: i\r\n\r\n":    match.Receipted,
		"POST /once HTTP/1.1\r\nIdempotency-Key: i\r\n\r\n": match.Effectful,
		"GET /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx":     match.Effectful,
	} {
		if got := s.Subject(readRequest(t, line)).Sent(); got != want {
			t.Errorf("%q is %s, want %s", line, got, want)
		}
	}
}

// Errors of rules are logged once a second, with the rule's name, however many there are.
func TestRuleErrorLogIsRateLimited(t *testing.T) {
	s := newTestStation(t, listBody(1, true))
	s.Rules = compileRules(t, s, rules.Rule{Name: "tier", When: `header["x-tier"] == "gold"`, Key: `"g"`})
	var mu sync.Mutex
	var text bytes.Buffer
	s.Log = slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return text.Write(p)
	}), nil))
	_, url := startAgent(t, s, deferAll(make(chan api.TransactionAccepted, 100)))
	for i := range 50 {
		doRequest(t, "GET", url+"/look", "", "Request-Id", fmt.Sprint(i))
	}
	mu.Lock()
	defer mu.Unlock()
	if n := strings.Count(text.String(), "rule_error"); n < 1 || n > 20 || !strings.Contains(text.String(),
		"rule tier: no such key") {
		t.Errorf("%d lines:\n%s", n, text.String())
	}
	if n := s.Rules.(*rules.Set).Rules()[0].Errors; n != 50 {
		t.Errorf("%d errors counted", n)
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// Rules may change under load: each request is judged by one set or the other, never by parts of both.
func TestRulesChangeUnderLoad(t *testing.T) {
	s := newTestStation(t, listBody(1, true))
	sets := []match.Judge{nil}
	for _, name := range []string{"a", "b"} {
		sets = append(sets, compileRules(t, s, rules.Rule{Name: name, When: "true", Key: `"` + name + `"`,
			Cost: map[string]string{"a": `duration("1ms")`, "b": `duration("2ms")`}[name]}))
	}
	taken := make(chan api.TransactionAccepted, 4000)
	a, url := startAgent(t, s, deferAll(taken))
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for i := range 100 {
				r, _ := http.NewRequest("GET", url+"/look", nil)
				r.Header.Set("Request-Id", fmt.Sprint(c, "-", i))
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Error(err)
					return
				}
				drain(resp.Body)
				resp.Body.Close()
			}
		})
	}
	for i := range 300 {
		a.SetRules(sets[i%3])
	}
	wg.Wait()
	close(taken)
	seen := map[api.AffinityKey]int{}
	for x := range taken {
		if want := map[api.AffinityKey]int64{"": 0, "a": 1e6, "b": 2e6}[x.Key]; int64(x.Cost) != want {
			t.Errorf("key %q with cost %s", x.Key, x.Cost)
		}
		seen[x.Key]++
	}
	if seen[""]+seen["a"]+seen["b"] != 800 {
		t.Errorf("%v", seen)
	}
}

// BenchmarkParseRequest parses a request with and without rules.
func BenchmarkParseRequest(b *testing.B) {
	s := &Station{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: []byte(settings)}
	if err := s.Check(); err != nil {
		b.Fatal(err)
	}
	set, err := rules.Compile([]rules.Rule{{Name: "x",
		When: `path.startsWith("/look/") && header[?"x-tier"].orValue("") != "gold"`,
		Key:  `header[?"x-user"].orValue("none")`}}, s.Deployment(), 0)
	if err != nil {
		b.Fatal(err)
	}
	r := readRequest(b, "GET /look/flags HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nCookie: k=1\r\n"+
		"Request-Timeout: 480m\r\nX-User: u\r\n\r\n")
	r.RemoteAddr = net.JoinHostPort("127.0.0.1", "9")
	for name, judge := range map[string]match.Judge{"off": nil, "one": set} {
		a := New(s)
		a.setRules(judge)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := a.parseRequest(nil, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func readRequest(t testing.TB, text string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	return r
}
