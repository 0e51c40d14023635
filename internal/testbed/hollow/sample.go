package hollow

import (
	"os"
	"runtime"
	"time"

	"github.com/go-faster/errors"
)

// Sample holds the counters of a testbed at one time.
type Sample struct {
	At                time.Time
	Controllers       []Usage // by process; empty if they share the process of the testbed
	RealProxies       []Usage // by process; empty if they share the process of the testbed
	Hollow            Usage   // of the process of the testbed
	ControllerTraffic Traffic // of all connections between controllers
	RealProxyTraffic  Traffic // of the connections that real proxies opened to controllers
	ProxyTraffic      Traffic // of the connections that hollow proxies opened
	BackendTraffic    Traffic
	Pulls             int64 // of hollow proxies
	FailedPulls       int64
	Items             int64 // received by hollow proxies
	Heartbeats        int64 // acknowledged heartbeats of hollow backends
	FailedHeartbeats  int64
}

// sample reads all counters.
func (b *Testbed) sample() (s Sample, err error) {
	s.At = time.Now()
	s.Hollow, err = ReadUsage(os.Getpid())
	if err != nil && runtime.GOOS == "linux" {
		return s, err
	}
	s.Controllers, s.ControllerTraffic, err = sampleProcesses(b.controllers)
	if err != nil {
		return s, err
	}
	s.RealProxies, s.RealProxyTraffic, err = sampleProcesses(b.realProxies)
	if err != nil {
		return s, err
	}
	for _, proxy := range b.proxies {
		s.ProxyTraffic = s.ProxyTraffic.Add(proxy.Meter.Read())
		s.Pulls += proxy.pulls.Load()
		s.FailedPulls += proxy.failures.Load()
		s.Items += proxy.items.Load()
	}
	for _, backend := range b.backends {
		s.BackendTraffic = s.BackendTraffic.Add(backend.Meter.Read())
		s.Heartbeats += backend.acknowledged.Load()
		s.FailedHeartbeats += backend.failures.Load()
	}
	return s, nil
}

// sampleProcesses returns the resource usage of each separate process, and the total traffic of all processes.
func sampleProcesses(processes []*Process) (usages []Usage, total Traffic, err error) {
	for _, process := range processes {
		traffic, err := process.Traffic()
		if err != nil {
			return nil, total, errors.Wrap(err, "read traffic of process")
		}
		total = total.Add(traffic)
		if process.PID == 0 {
			continue
		}
		usage, err := ReadUsage(process.PID)
		if err != nil {
			return nil, total, err
		}
		usages = append(usages, usage)
	}
	return usages, total, nil
}
