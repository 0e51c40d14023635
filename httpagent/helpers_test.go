package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

const settings = `{"balancers":2,"position":0,"tick":5,"registryMode":"automatic","classes":[
	{"name":"look","semantics":"free","goalTime":300,"giveUp":750},
	{"name":"keep","semantics":"guarded","group":"all","keyTtl":2000,"goalTime":600,"giveUp":2000},
	{"name":"once","semantics":"single_shot","goalTime":600,"giveUp":2000}],
	"permissions":{"connIdle":30000,"dialTimeout":250,"maxAttempts":3,"mayCancel":true,"maxRetryAfter":500,"retryAfter":true},
	"familyInfo":{"voteWait":1000,"mostShares":[1]},"orgs":[{"name":"c"}],"telemetry":{"fields":["queue"],"source":"answers"}}`

// newTestStation is a station that names nobody but what the test sets.
func newTestStation(t *testing.T, known string) *Station {
	t.Helper()
	s := &Station{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: json.RawMessage(settings),
		Known: json.RawMessage(known)}
	s.Platform.News = json.RawMessage(`{"image":7,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`)
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	return s
}

func listBody(generation int, reset bool, addresses ...string) string {
	version := int64(generation)
	m := discoveryList{Generation: &version, Reset: reset, Instances: []discoveryInstance{}}
	for i, address := range addresses {
		m.Instances = append(m.Instances, discoveryInstance{InstanceID: fmt.Sprintf("s-%d", i), HostPort: address,
			Lifecycle: "in_service",
			Build:     7, Weight: 1})
	}
	text, _ := json.Marshal(m)
	return string(text)
}

// scriptedPolicy is a policy that answers each event by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

// startAgent runs an agent's client side alone, with a policy of the test's.
func startAgent(t *testing.T, s *Station, step scriptedPolicy) (*Agent, string) {
	t.Helper()
	a := New(s)
	a.engine = engine.New(time.Now(), step, a.execute, a.log)
	ctx, stop := context.WithCancel(context.Background())
	a.lifetime = ctx
	go a.engine.Run(ctx)
	if err := a.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(a)
	server.Config = a.newServer()
	server.Start()
	t.Cleanup(func() { server.Close(); stop() })
	return a, server.URL
}

func doRequest(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}

// write writes to a peer that may have gone by then, which the test sees by what follows.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// drain reads what is left of a body; a response that is cut short has been seen by its status.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// waitForClose waits until the peer closes its connection, or the writing half of it.
func waitForClose(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// hangUp closes a connection that the peer may have closed already.
func hangUp(c io.Closer) { c.Close() }

// closeWrite closes the writing half of a connection that the peer may have closed already.
func closeWrite(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// flush writes out what a handler has written; the peer may have gone by then.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// failOnTransaction is a policy that no transaction may reach.
func failOnTransaction(t *testing.T) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if taken, ok := event.(api.TransactionAccepted); ok {
			t.Errorf("%+v reaches the policy", taken)
			return []api.Action{api.FailTransaction{Transaction: taken.ID}}
		}
		return nil
	}
}
