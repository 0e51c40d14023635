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

// SIGHUP makes the agent read its configuration again. An invalid one changes nothing; one that names another
// discovery service is followed at once. SIGTERM still ends the agent afterwards.
func TestHangup(t *testing.T) {
	asked := make(chan string, 8)
	discovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name
			_ = http.NewResponseController(w).Flush() // fails if the agent has closed the connection
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
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
	if name := <-asked; name != "first" { // the agent runs, and catches signals
		t.Fatal(name)
	}
	write(`{"listen":`)
	signalSelf(t, syscall.SIGHUP)
	time.Sleep(50 * time.Millisecond) // lets a wrong reload show; the result does not depend on it
	write(fmt.Sprintf(config, discovery("second")))
	signalSelf(t, syscall.SIGHUP)
	if name := <-asked; name != "second" {
		t.Errorf("after the reload the agent uses the %s discovery service", name)
	}
	signalSelf(t, syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
