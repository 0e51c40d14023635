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

	"sagelever/internal/agent/ws"
)

// idleReport are what idle connections cost. Clients are bare sockets in the same process, which the bytes include.
type idleReport struct {
	connections, refused     int
	bytesPerConnection       float64 // bytes of heap and stacks for each
	leakedGoroutines         int     // more than before, when all have gone
	leakedBytesPerConnection float64 // for each that was there
}

func (f idleReport) String() string {
	return fmt.Sprintf("connections=%d refused=%d bytes_each=%.0f left_goroutines=%d left_bytes_each=%.0f", f.connections, f.refused, f.bytesPerConnection,
		f.leakedGoroutines, f.leakedBytesPerConnection)
}

// memoryInUse is the memory of heap and stacks after a collection.
func memoryInUse() float64 {
	runtime.GC()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// runIdle opens connections that say nothing, and measures what they cost while they are there and after they have gone.
func runIdle(connections int, log *slog.Logger) (report idleReport, err error) {
	backends, err := newBackendSet(0)
	if err != nil {
		return report, err
	}
	defer backends.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	address, ended, err := startAgent(ctx, backends.discovery.Address, 1, log)
	if err != nil {
		return report, err
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(200 * time.Millisecond)
	memoryBefore, goroutinesBefore := memoryInUse(), runtime.NumGoroutine()
	open := make([]net.Conn, 0, connections)
	for range connections {
		conn, err := dialWebSocket(address)
		if err != nil {
			report.refused++
			continue
		}
		open = append(open, conn)
	}
	report.connections = len(open)
	time.Sleep(500 * time.Millisecond)
	report.bytesPerConnection = (memoryInUse() - memoryBefore) / float64(max(len(open), 1))
	for _, conn := range open {
		conn.Close()
	}
	open = nil
	for range 200 {
		if report.leakedGoroutines = runtime.NumGoroutine() - goroutinesBefore; report.leakedGoroutines <= 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	report.leakedBytesPerConnection = (memoryInUse() - memoryBefore) / float64(max(report.connections, 1))
	stop()
	return report, <-ended
}

// dialWebSocket opens one connection by hand: a client library would cost more than the agent.
func dialWebSocket(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(conn, "GET /ws HTTP/1.1\r\nHost: lab\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: %s\r\n\r\n", ws.ClientProtocol)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err == nil && resp.StatusCode != http.StatusSwitchingProtocols {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, conn.SetReadDeadline(time.Time{})
}
