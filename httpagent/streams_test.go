package httpagent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// openedStream is one watch or stream opened at a test's server, which writes the lines sent to lines.
type openedStream struct {
	server, path string
	lines        chan string
	closed       <-chan struct{}
}

// startControlServer starts a server that sends each request for a watch, stream or vote to streams.
func startControlServer(t *testing.T, name string, streams chan<- openedStream) string {
	testServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			streams <- openedStream{server: name, path: r.URL.Path}
			return
		}
		stream := openedStream{name, r.URL.String(), make(chan string), r.Context().Done()}
		flush(w)
		streams <- stream
		for {
			select {
			case line := <-stream.lines:
				write(w, line+"\n")
				flush(w)
			case <-stream.closed:
				return
			}
		}
	}))
	t.Cleanup(func() { testServer.CloseClientConnections(); testServer.Close() })
	return testServer.Listener.Addr().String()
}

// After a reload, the watch and the stream are opened at the new addresses while the old ones still work. The old ones
// are closed once the new ones have received something, votes go to the new platform, and an older list does not
// replace a newer one.
func TestReload(t *testing.T) {
	streams := make(chan openedStream, 8)
	station := newTestStation(t, listBody(3, true))
	station.Discovery, station.Platform.Address =
		startControlServer(t, "discovery 1", streams), startControlServer(t, "platform 1", streams)
	agent := New(station)
	events := make(chan api.Event, 8)
	agent.engine = engine.New(time.Now(), scriptedPolicy(func(event api.Event) []api.Action { events <- event; return nil }),
		agent.execute, agent.log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go agent.engine.Run(ctx)
	if err := agent.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	<-events
	<-events // the initial list and rollout
	go agent.watchDiscovery(ctx)
	go agent.followPlatform(ctx)
	nextTwo := func() map[string]openedStream {
		first, second := <-streams, <-streams
		return map[string]openedStream{first.server: first, second.server: second}
	}
	version := func() int64 { return (<-events).(api.BackendUpdate).Version }
	const state = `{"type":"ROLLOUT","object":{"image":42,"ring":%d,"progress":"trial","ceiling":0.28,"lag_ms":310}}`
	before := nextTwo()
	before["discovery 1"].lines <- listBody(4, false)
	if v := version(); v != 4 {
		t.Errorf("version %d, want 4", v)
	}
	next := newTestStation(t, "")
	next.Discovery, next.Platform.Address = startControlServer(t, "discovery 2", streams), startControlServer(t,
		"platform 2", streams)
	agent.Reload(next)
	after := nextTwo()
	if after["discovery 2"].path != "/catalog/members?watch=1&from=4" || after["platform 2"].path != "/api/stream" {
		t.Fatalf("after the reload: %v", after)
	}
	before["discovery 1"].lines <- listBody(5, false) // the old ones still work
	if v := version(); v != 5 {
		t.Errorf("version %d, want 5", v)
	}
	before["platform 1"].lines <- fmt.Sprintf(state, 1)
	if update := (<-events).(api.RolloutUpdate); update.Stage != 1 {
		t.Errorf("update %+v", update)
	}
	after["discovery 2"].lines <- listBody(4, true, "127.0.0.1:9") // older than the current version 5
	after["discovery 2"].lines <- listBody(6, false)
	if v := version(); v != 6 {
		t.Errorf("version %d, want 6", v)
	}
	after["platform 2"].lines <- fmt.Sprintf(state, 2)
	if update := (<-events).(api.RolloutUpdate); update.Stage != 2 {
		t.Errorf("update %+v", update)
	}
	<-before["discovery 1"].closed
	<-before["platform 1"].closed
	_, _ = agent.postVote(ctx, api.CastVote{Build: 42}) // only its destination matters here
	if vote := <-streams; vote.server != "platform 2" {
		t.Errorf("the vote was sent to %s", vote.server)
	}
	after["platform 2"].lines <- `{"type":"ROLL`
	if again := <-streams; again.server != "platform 2" {
		t.Errorf("opened after an invalid line: %v", again)
	}
}
