package main

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"sagelever/internal/agent/ws"
)

const (
	// idleSettleTime is the pause between opening the connections and measuring their memory.
	idleSettleTime = 500 * time.Millisecond
	// goroutineTimeout bounds the wait for the goroutines of closed connections, polled every goroutineInterval.
	goroutineTimeout  = 10 * time.Second
	goroutineInterval = 50 * time.Millisecond
	// upgradeTimeout bounds the wait for the response to an upgrade.
	upgradeTimeout = 5 * time.Second
	// agentCloseDelay is how long the agent takes to close its side of an idle connection.
	agentCloseDelay = 200 * time.Millisecond
	// upgradeBufferBytes is the size of the read buffer for the response to an upgrade.
	upgradeBufferBytes = 512
)

func newIdleCommand() *cobra.Command {
	var connections int
	command := &cobra.Command{
		Use:   "idle",
		Short: "what idle WebSocket connections cost",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runIdle(connections, newLogger(false))
			if err == nil {
				fmt.Fprintln(command.OutOrStdout(), report)
			}
			return err
		},
	}
	command.Flags().IntVar(&connections, "connections", 10000, "how many; each takes two descriptors")
	return command
}

// idleReport is the cost of idle connections. Its byte counts include the clients, which are plain sockets in the same
// process.
type idleReport struct {
	connections              int
	refused                  int
	bytesPerConnection       float64 // heap and stacks
	leakedGoroutines         int     // remaining after all connections were closed
	leakedBytesPerConnection float64 // remaining after all connections were closed
}

// String returns the report as one line of key=value pairs.
func (r idleReport) String() string {
	return fmt.Sprintf("connections=%d refused=%d bytes_each=%.0f left_goroutines=%d left_bytes_each=%.0f",
		r.connections, r.refused, r.bytesPerConnection, r.leakedGoroutines, r.leakedBytesPerConnection)
}

// memoryInUse runs a garbage collection and returns the bytes of heap and stacks.
func memoryInUse() float64 {
	runtime.GC()
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// runIdle opens connections that send nothing, and measures their cost while they are open and after they were closed.
func runIdle(connections int, log *slog.Logger) (idleReport, error) {
	backends, err := newBackendSet(0)
	if err != nil {
		return idleReport{}, err
	}
	defer backends.close()
	agent, err := startAgent(backends.discovery.Address, 1, log)
	if err != nil {
		return idleReport{}, err
	}
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(agentCloseDelay)
	memoryBefore := memoryInUse()
	goroutinesBefore := runtime.NumGoroutine()
	open := openIdle(agent.address, connections)
	report := idleReport{connections: len(open), refused: connections - len(open)}
	divisor := float64(max(len(open), 1))
	time.Sleep(idleSettleTime)
	report.bytesPerConnection = (memoryInUse() - memoryBefore) / divisor
	for _, conn := range open {
		conn.Close()
	}
	clear(open) // makes the memory of the connections collectable
	report.leakedGoroutines = awaitGoroutines(goroutinesBefore)
	report.leakedBytesPerConnection = (memoryInUse() - memoryBefore) / divisor
	return report, agent.stop()
}

// openIdle opens connections and returns those that were not refused.
func openIdle(address string, connections int) []net.Conn {
	open := make([]net.Conn, 0, connections)
	for range connections {
		if conn, err := dialWebSocket(address); err == nil {
			open = append(open, conn)
		}
	}
	return open
}

// awaitGoroutines waits until there are at most as many goroutines as before, or until goroutineTimeout has passed. It
// returns the remaining difference.
func awaitGoroutines(before int) (excess int) {
	for range goroutineTimeout / goroutineInterval {
		excess = runtime.NumGoroutine() - before
		if excess <= 0 {
			break
		}
		time.Sleep(goroutineInterval)
	}
	return excess
}

// dialWebSocket opens a WebSocket connection without a client library, which would use more memory than the agent.
func dialWebSocket(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := upgrade(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// upgrade upgrades a connection to WebSocket (RFC 6455, section 4.1).
func upgrade(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(upgradeTimeout)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: lab\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: %s\r\n\r\n",
		webSocketPath, ws.ClientProtocol)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, upgradeBufferBytes), nil)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return fmt.Errorf("upgrade to WebSocket: status %d", response.StatusCode)
	}
	return conn.SetDeadline(time.Time{})
}
