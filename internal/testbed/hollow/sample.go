package hollow

import (
	"os"
	"runtime"
	"time"

	"github.com/go-faster/errors"
)

// Sample is the counters of a testbed at one moment.
type Sample struct {
	At                time.Time
	Controllers       []Usage // by process; empty if they share the process of the testbed
	RealProxies       []Usage // by process; empty if they share the process of the testbed
	Hollow            Usage   // of the process of the testbed
	ControllerTraffic Traffic // of the connections between controllers, all together
	RealProxyTraffic  Traffic // of the connections that real proxies opened to controllers
	ProxyTraffic      Traffic // of the connections that hollow proxies opened
	BackendTraffic    Traffic
	Pulls             int64 // of hollow proxies
	FailedPulls       int64
	Items             int64 // that hollow proxies received
	Heartbeats        int64 // that were acknowledged
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

// sampleProcesses returns the usage of each process that is separate from the testbed's, and the traffic of all.
func sampleProcesses(processes []*Process) (usages []Usage, total Traffic, err error) {
	for _, process := range processes {
		traffic, err := process.Traffic()
		if err != nil {
			return nil, total, errors.Wrap(err, "read the traffic of a process")
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
