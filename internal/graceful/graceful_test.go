package graceful

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

const testDrain = 100 * time.Millisecond

// startServer starts a server for a handler. Requests have the context ctx.
func startServer(ctx context.Context, t *testing.T, handler http.HandlerFunc) (server *http.Server, url string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(listener) }() // returns http.ErrServerClosed after Shutdown
	t.Cleanup(func() { _ = server.Close() })   // Shutdown may have closed it
	return server, "http://" + listener.Addr().String()
}

// Guards against requests that end without a response: one that has not finished is told to, responds, and is waited
// for; only one that does not respond even then is reported as left.
func TestShutdownWaitsForResponses(t *testing.T) {
	for _, test := range []struct {
		name     string
		respond  bool
		complete bool
	}{
		{"responds when told", true, true},
		{"never responds", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			ctx, endRequests := context.WithCancel(context.Background())
			started, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			server, url := startServer(ctx, t, func(w http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				if !test.respond {
					<-release
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			status := make(chan int, 1)
			go func() {
				resp, err := http.Get(url)
				if err != nil {
					return
				}
				resp.Body.Close()
				status <- resp.StatusCode
			}()
			<-started
			complete := Shutdown([]*http.Server{server}, Schedule{Drain: testDrain, Answers: time.Second}, endRequests)
			if complete != test.complete {
				t.Errorf("complete: %v, want %v", complete, test.complete)
			}
			if !test.respond {
				return
			}
			if got := <-status; got != http.StatusServiceUnavailable {
				t.Errorf("the client got %d", got)
			}
		})
	}
}
