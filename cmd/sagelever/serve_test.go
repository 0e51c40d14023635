package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"sagelever/httpagent"
)

// signalSelf sends a signal to the test process.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// SIGHUP reloads the configuration. An invalid one changes nothing; one with another discovery service takes effect
// immediately. SIGTERM still ends the agent afterwards.
func TestHangup(t *testing.T) {
	queried := make(chan string, 8)
	discovery := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			queried <- name
			_ = http.NewResponseController(w).Flush() // fails if the agent has closed the connection
			<-r.Context().Done()
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		return server.Listener.Addr().String()
	}
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const config = `{"listen":"127.0.0.1:0","discovery":%q,"settings":{"classes":[{"name":"c"}]}}`
	write(fmt.Sprintf(config, discovery("first")))
	station, err := httpagent.ReadStation(file)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- serve(station, fileSource{configPath: file}, "text") }()
	if name := <-queried; name != "first" { // the agent is running and handles signals
		t.Fatal(name)
	}
	write(`{"listen":`)
	signalSelf(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // lets a wrong reload show; the result does not depend on it
	write(fmt.Sprintf(config, discovery("second")))
	signalSelf(t, syscall.SIGHUP)
	if name := <-queried; name != "second" {
		t.Errorf("after the reload the agent uses the %s discovery service", name)
	}
	signalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
