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

// openedStream is one watch or stream that a test's server has been asked for: it writes what the test sends.
type openedStream struct {
	at, path string
	write    chan string
	gone     <-chan struct{}
}

// startControlServer is a server that hands each request for a watch or stream to the test.
func startControlServer(t *testing.T, name string, streams chan<- openedStream) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == "POST" {
			streams <- openedStream{at: name, path: r.URL.Path}
			return
		}
		x := openedStream{name, r.URL.String(), make(chan string), r.Context().Done()}
		flush(w)
		streams <- x
		for {
			select {
			case line := <-x.write:
				write(w, line+"\n")
				flush(w)
			case <-x.gone:
				return
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// After a reload the watch and the stream are opened at the new addresses while the old ones still work. The old ones
// are closed once the new ones have received something, votes go to the new platform, and no old state replaces a newer
// one.
func TestReload(t *testing.T) {
	streams := make(chan openedStream, 8)
	s := newTestStation(t, listBody(3, true))
	s.Discovery, s.Platform.Address = startControlServer(t, "discovery 1", streams), startControlServer(t, "platform 1",
		streams)
	a := New(s)
	events := make(chan api.Event, 8)
	a.engine = engine.New(time.Now(), scriptedPolicy(func(event api.Event) []api.Action { events <- event; return nil }),
		a.execute, a.log)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.engine.Run(ctx)
	if err := a.loadInitialState(); err != nil {
		t.Fatal(err)
	}
	<-events
	<-events // the list and the rollout known at the start
	go a.watchDiscovery(ctx)
	go a.followPlatform(ctx)
	two := func() map[string]openedStream {
		first, second := <-streams, <-streams
		return map[string]openedStream{first.at: first, second.at: second}
	}
	version := func() int64 { return (<-events).(api.BackendUpdate).Version }
	const state = `{"type":"ROLLOUT","object":{"image":42,"ring":%d,"progress":"trial","ceiling":0.28,"lag_ms":310}}`
	old := two()
	old["discovery 1"].write <- listBody(4, false)
	if v := version(); v != 4 {
		t.Errorf("version %d, want 4", v)
	}
	next := newTestStation(t, "")
	next.Discovery, next.Platform.Address = startControlServer(t, "discovery 2", streams), startControlServer(t,
		"platform 2", streams)
	a.Reload(next)
	moved := two()
	if moved["discovery 2"].path != "/catalog/members?watch=1&from=4" || moved["platform 2"].path != "/api/stream" {
		t.Fatalf("after the reload: %v", moved)
	}
	old["discovery 1"].write <- listBody(5, false) // the old ones still work
	if v := version(); v != 5 {
		t.Errorf("version %d, want 5", v)
	}
	old["platform 1"].write <- fmt.Sprintf(state, 1)
	if news := (<-events).(api.RolloutUpdate); news.Stage != 1 {
		t.Errorf("update %+v", news)
	}
	moved["discovery 2"].write <- listBody(4, true, "127.0.0.1:9") // older than the present one
	moved["discovery 2"].write <- listBody(6, false)
	if v := version(); v != 6 {
		t.Errorf("version %d, want 6", v)
	}
	moved["platform 2"].write <- fmt.Sprintf(state, 2)
	if news := (<-events).(api.RolloutUpdate); news.Stage != 2 {
		t.Errorf("update %+v", news)
	}
	<-old["discovery 1"].gone
	<-old["platform 1"].gone
	_, _ = a.postVote(ctx, api.CastVote{Build: 42}) // only where it goes matters
	if vote := <-streams; vote.at != "platform 2" {
		t.Errorf("the vote goes to %s", vote.at)
	}
	moved["platform 2"].write <- `{"type":"ROLL`
	if again := <-streams; again.at != "platform 2" {
		t.Errorf("after a line that cannot be read: %v", again)
	}
}
