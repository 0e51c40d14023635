package httpagent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/engine"
)

// startRunningAgent runs a complete agent with the given policy. stop begins its shutdown, and done is closed when Run
// has returned.
func startRunningAgent(t *testing.T, step scriptedPolicy) (address string, stop context.CancelFunc, done <-chan struct{}) {
	t.Helper()
	station := newTestStation(t, listBody(3, true))
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	station.Listen = reserved.Addr().String()
	reserved.Close()
	agent := New(station)
	agent.engine = engine.New(time.Now(), step, agent.execute, agent.log)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := agent.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-ended })
	for {
		conn, err := net.Dial("tcp", station.Listen)
		if err == nil {
			conn.Close()
			return station.Listen, stop, ended
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against transactions that end without an answer when the agent exits: one whose body arrives late, after the
// shutdown has begun, still has its whole time.
func TestShutdownAnswersLateTransaction(t *testing.T) {
	t.Parallel()
	const bodyDelay = bodyReadTimeout * 3 / 4
	address, stop, done := startRunningAgent(t, func(api.Event) []api.Action { return nil }) // never answers
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stop()
	time.Sleep(drainDelay * 9 / 10)
	write(conn, fmt.Sprintf("POST /once HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nRequest-Timeout: %dm\r\nContent-Length: 2\r\n\r\nx",
		2000))
	time.Sleep(bodyDelay)
	write(conn, "x")
	answered := make(chan error, 1)
	go func() {
		_, err := http.ReadResponse(bufio.NewReader(conn), nil)
		answered <- err
	}()
	<-done
	select {
	case err := <-answered:
		if err != nil {
			t.Errorf("no answer: %v", err)
		}
	case <-time.After(100 * time.Millisecond):
		t.Error("the process exits, and the client has no answer")
	}
}
