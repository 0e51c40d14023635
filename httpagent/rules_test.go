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

func compileRules(t *testing.T, station *Station, list ...rules.Rule) *rules.Set {
	t.Helper()
	set, err := rules.Compile(list, station.Deployment(), 0)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// deferAll returns a policy that sends each transaction to accepted and defers it immediately.
func deferAll(accepted chan<- api.TransactionAccepted) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if transaction, ok := event.(api.TransactionAccepted); ok {
			accepted <- transaction
			return []api.Action{api.DeferTransaction{Transaction: transaction.ID}}
		}
		return nil
	}
}

// Rules set a request's properties for the policy; if none matches, the protocol's fields apply. A request that a rule
// refuses, or that does not fit the workload that a rule assigns, never becomes a transaction.
func TestRules(t *testing.T) {
	station := newTestStation(t, listBody(1, true))
	station.Rules = compileRules(t, station,
		rules.Rule{Name: "api", When: `segments[0] == "api"`, Workload: `segments[1]`, Key: `query["user"]`,
			Cost: `duration("7ms")`, Otherwise: "refuse"},
		rules.Rule{Name: "org", When: `"x-org" in header && cookie[?"k"].orValue("") != "plain"`,
			Customer: `header["x-org"]`, Key: `"org/" + header["x-org"]`})
	accepted := make(chan api.TransactionAccepted, 1)
	_, url := startAgent(t, station, deferAll(accepted))
	for _, test := range []struct {
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
		// no idempotency key: the backend could not detect a repeated request
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
		resp, body := doRequest(t, test.method, url+test.path, "", append(test.headers, "Request-Id", "r")...)
		if resp.StatusCode != test.status {
			t.Errorf("%s %s %v: %d %q, want %d", test.method, test.path, test.headers, resp.StatusCode, body, test.status)
		}
		var got api.TransactionAccepted
		select {
		case got = <-accepted:
		default:
		}
		got.ID, got.Timeout = "", 0
		if got != test.want {
			t.Errorf("%s %s %v: %+v, want %+v", test.method, test.path, test.headers, got, test.want)
		}
	}
}

// The repeatability of a request depends on its method, its body, its idempotency key and the workload of its path.
func TestSent(t *testing.T) {
	station := newTestStation(t, listBody(1, true))
	for line, want := range map[string]match.Repeatable{
		"GET /x HTTP/1.1\r\n\r\n": match.Pure, "GET /look HTTP/1.1\r\n\r\n": match.Pure,
		"GET /keep HTTP/1.1\r\n\r\n": match.Receipted,
		"GET /once HTTP/1.1\r\n\r\n": match.Effectful, "POST /x HTTP/1.1\r\n\r\n": match.Effectful,
		"HEAD /x HTTP/1.1\r\n\r\n":                          match.Effectful,
		"POST /x HTTP/1.1\r\nIdempotency-Key: i\r\n\r\n":    match.Receipted,
		"POST /once HTTP/1.1\r\nIdempotency-Key: i\r\n\r\n": match.Effectful,
		"GET /x HTTP/1.1\r\nContent-Length: 1\r\n\r\nx":     match.Effectful,
	} {
		if got := station.Subject(readRequest(t, line)).Sent(); got != want {
			t.Errorf("%q is %s, want %s", line, got, want)
		}
	}
}

// Rule errors are logged with the rule's name, at most once a second.
func TestRuleErrorLogIsRateLimited(t *testing.T) {
	station := newTestStation(t, listBody(1, true))
	station.Rules = compileRules(t, station, rules.Rule{Name: "tier", When: `header["x-tier"] == "gold"`, Key: `"g"`})
	var mu sync.Mutex
	var text bytes.Buffer
	station.Log = slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return text.Write(p)
	}), nil))
	_, url := startAgent(t, station, deferAll(make(chan api.TransactionAccepted, 100)))
	for i := range 50 {
		doRequest(t, "GET", url+"/look", "", "Request-Id", fmt.Sprint(i))
	}
	mu.Lock()
	defer mu.Unlock()
	if n := strings.Count(text.String(), "rule_error"); n < 1 || n > 20 || !strings.Contains(text.String(),
		"rule tier: no such key") {
		t.Errorf("%d lines:\n%s", n, text.String())
	}
	if n := station.Rules.(*rules.Set).Rules()[0].Errors; n != 50 {
		t.Errorf("%d errors counted", n)
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// When rules are replaced under load, each request is evaluated by exactly one rule set.
func TestRulesChangeUnderLoad(t *testing.T) {
	station := newTestStation(t, listBody(1, true))
	sets := []match.Judge{nil}
	for _, name := range []string{"a", "b"} {
		sets = append(sets, compileRules(t, station, rules.Rule{Name: name, When: "true", Key: `"` + name + `"`,
			Cost: map[string]string{"a": `duration("1ms")`, "b": `duration("2ms")`}[name]}))
	}
	accepted := make(chan api.TransactionAccepted, 4000)
	agent, url := startAgent(t, station, deferAll(accepted))
	var wg sync.WaitGroup
	for client := range 8 {
		wg.Go(func() {
			for i := range 100 {
				req, _ := http.NewRequest("GET", url+"/look", nil)
				req.Header.Set("Request-Id", fmt.Sprint(client, "-", i))
				resp, err := http.DefaultClient.Do(req)
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
		agent.SetRules(sets[i%3])
	}
	wg.Wait()
	close(accepted)
	seen := map[api.AffinityKey]int{}
	for transaction := range accepted {
		if want := map[api.AffinityKey]int64{"": 0, "a": 1e6, "b": 2e6}[transaction.Key]; int64(transaction.Cost) != want {
			t.Errorf("key %q has cost %s of another rule set", transaction.Key, transaction.Cost)
		}
		seen[transaction.Key]++
	}
	if seen[""]+seen["a"]+seen["b"] != 800 {
		t.Errorf("%v", seen)
	}
}

// BenchmarkParseRequest parses a request with and without rules.
func BenchmarkParseRequest(b *testing.B) {
	station := &Station{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: []byte(settings)}
	if err := station.Check(); err != nil {
		b.Fatal(err)
	}
	set, err := rules.Compile([]rules.Rule{{Name: "x",
		When: `path.startsWith("/look/") && header[?"x-tier"].orValue("") != "gold"`,
		Key:  `header[?"x-user"].orValue("none")`}}, station.Deployment(), 0)
	if err != nil {
		b.Fatal(err)
	}
	req := readRequest(b, "GET /look/flags HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nCookie: k=1\r\n"+
		"Request-Timeout: 480m\r\nX-User: u\r\n\r\n")
	req.RemoteAddr = net.JoinHostPort("127.0.0.1", "9")
	for name, judge := range map[string]match.Judge{"off": nil, "one": set} {
		agent := New(station)
		agent.setRules(judge)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := agent.parseRequest(nil, req); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func readRequest(t testing.TB, text string) *http.Request {
	t.Helper()
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	return req
}
