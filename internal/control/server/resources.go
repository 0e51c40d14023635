package server

import (
	"net"
	"net/http"
	"runtime/metrics"
	"sync/atomic"

	"github.com/go-faster/errors"

	"sagelever/internal/settings"
)

// maxResourceShare is the share of a configured resource limit up to which orders are accepted. Beyond it, the platform
// may be about to kill the process: the remainder is reserved for the other members, the proxies and the backends.
const maxResourceShare = 0.75

// Metrics of the Go runtime. Their difference is the memory that the runtime has obtained from the operating system and
// has not returned.
const (
	memoryMetric         = "/memory/classes/total:bytes"
	releasedMemoryMetric = "/memory/classes/heap/released:bytes"
)

var errOverloaded = errors.New("this controller is near the limits of its machine: ask another one, or later")

// resourceUsage is the use of machine resources by a process.
type resourceUsage struct {
	connections int64 // open, accepted ones
	memoryBytes uint64
}

// exceeds reports whether the use of a resource is above maxResourceShare of its limit. A limit of 0 means no limit.
func (u resourceUsage) exceeds(limits settings.ResourceLimits) bool {
	maxConnections := maxResourceShare * float64(limits.OpenFiles)
	maxMemory := maxResourceShare * float64(uint64(limits.MemoryMB)<<20)
	return maxConnections > 0 && float64(u.connections) > maxConnections ||
		maxMemory > 0 && float64(u.memoryBytes) > maxMemory
}

// resourceMonitor tracks the resource use of this process. The zero value is ready to use.
type resourceMonitor struct {
	connections atomic.Int64
	memoryBytes atomic.Uint64 // as of the last sample
}

// trackConnection counts open connections. It is a ConnState hook of http.Server.
func (m *resourceMonitor) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		m.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		m.connections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// sampleMemory updates the memory in use.
func (m *resourceMonitor) sampleMemory() {
	samples := []metrics.Sample{{Name: memoryMetric}, {Name: releasedMemoryMetric}}
	metrics.Read(samples)
	m.memoryBytes.Store(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

func (m *resourceMonitor) usage() resourceUsage {
	return resourceUsage{connections: m.connections.Load(), memoryBytes: m.memoryBytes.Load()}
}

// admitOrder wraps the handler of an order to reject orders while the process is near its resource limits.
func (s *Server) admitOrder(handler apiFunc) apiFunc {
	return func(w http.ResponseWriter, r *http.Request) error {
		if s.resources.usage().exceeds(s.settings.Resources) {
			return errOverloaded
		}
		return handler(w, r)
	}
}
