package main

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"sagelever/wsagent"
)

// idleFigures are what idle connections cost. Clients are bare sockets in the same process, which the bytes include.
type idleFigures struct {
	connections, refused int
	each                 float64 // bytes of heap and stacks for each
	leftGoroutines       int     // more than before, when all have gone
	leftBytes            float64 // for each that was there
}

func (f idleFigures) String() string {
	return fmt.Sprintf("connections=%d refused=%d bytes_each=%.0f left_goroutines=%d left_bytes_each=%.0f", f.connections, f.refused, f.each,
		f.leftGoroutines, f.leftBytes)
}

// inUse is the memory of heap and stacks after a collection.
func inUse() float64 {
	runtime.GC()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// idle opens connections that say nothing, and measures what they cost while they are there and after they have gone.
func idle(connections int, log *slog.Logger) (f idleFigures, err error) {
	none, err := newFleet(0)
	if err != nil {
		return f, err
	}
	defer none.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	at, ended, err := startAgent(ctx, none.discovery.Address, 1, log)
	if err != nil {
		return f, err
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(200 * time.Millisecond)
	before, routines := inUse(), runtime.NumGoroutine()
	open := make([]net.Conn, 0, connections)
	for range connections {
		c, err := upgraded(at)
		if err != nil {
			f.refused++
			continue
		}
		open = append(open, c)
	}
	f.connections = len(open)
	time.Sleep(500 * time.Millisecond)
	f.each = (inUse() - before) / float64(max(len(open), 1))
	for _, c := range open {
		c.Close()
	}
	open = nil
	for range 200 {
		if f.leftGoroutines = runtime.NumGoroutine() - routines; f.leftGoroutines <= 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.leftBytes = (inUse() - before) / float64(max(f.connections, 1))
	stop()
	return f, <-ended
}

// upgraded opens one connection by hand: a client library would cost more than the agent.
func upgraded(at string) (net.Conn, error) {
	c, err := net.Dial("tcp", at)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(c, "GET /ws HTTP/1.1\r\nHost: lab\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: %s\r\n\r\n", wsagent.ClientProtocol)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetReadDeadline(time.Time{})
}
