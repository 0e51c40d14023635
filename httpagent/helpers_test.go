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

// newTestStation returns a station without peers and a platform. known is its initial backend list.
func newTestStation(t *testing.T, known string) *Station {
	t.Helper()
	station := &Station{Name: "n0", Listen: "127.0.0.1:0", Discovery: "127.0.0.1:1", Settings: json.RawMessage(settings),
		Known: json.RawMessage(known)}
	station.Platform.News = json.RawMessage(`{"image":7,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`)
	if err := station.Check(); err != nil {
		t.Fatal(err)
	}
	return station
}

func listBody(generation int, reset bool, addresses ...string) string {
	version := int64(generation)
	list := discoveryList{Generation: &version, Reset: reset, Instances: []discoveryInstance{}}
	for i, address := range addresses {
		list.Instances = append(list.Instances, discoveryInstance{InstanceID: fmt.Sprintf("s-%d", i), HostPort: address,
			Lifecycle: "in_service",
			Build:     7, Weight: 1})
	}
	text, _ := json.Marshal(list)
	return string(text)
}

// scriptedPolicy is a policy implemented by a function.
type scriptedPolicy func(event api.Event) []api.Action

func (s scriptedPolicy) Step(_ time.Duration, event api.Event) []api.Action { return s(event) }

// startAgent runs an agent with the given policy, without discovery and the platform, and returns it with its URL.
func startAgent(t *testing.T, station *Station, step scriptedPolicy) (*Agent, string) {
	t.Helper()
	agent := New(station)
	agent.engine = engine.New(time.Now(), step, agent.execute, agent.log)
	ctx, stop := context.WithCancel(context.Background())
	agent.lifetime = ctx
	go agent.engine.Run(ctx)
	if err := agent.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(agent)
	server.Config = agent.newServer()
	server.Start()
	t.Cleanup(func() { server.Close(); stop() })
	return agent, server.URL
}

func doRequest(t *testing.T, method, url, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
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

// write writes to a peer that may have disconnected, which the test detects later.
func write(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// drain reads the remaining body and ignores errors: tests check the status.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

// waitForClose waits until the peer closes its connection or the writing half of it.
func waitForClose(c net.Conn) { _, _ = c.Read(make([]byte, 1)) }

// hangUp closes a connection that the peer may have already closed.
func hangUp(c io.Closer) { c.Close() }

// closeWrite closes the writing half of a connection that the peer may have already closed.
func closeWrite(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }

// flush flushes the response of a handler. The peer may have disconnected.
func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// failOnTransaction returns a policy that fails the test if a transaction reaches it.
func failOnTransaction(t *testing.T) scriptedPolicy {
	return func(event api.Event) []api.Action {
		if accepted, ok := event.(api.TransactionAccepted); ok {
			t.Errorf("%+v reached the policy", accepted)
			return []api.Action{api.FailTransaction{Transaction: accepted.ID}}
		}
		return nil
	}
}
