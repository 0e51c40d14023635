package hollow

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replication"
	"sagelever/internal/lease"
)

// StartProxies starts the real and the hollow proxies and the backends. It waits until all hollow proxies have the
// whole configuration and a heartbeat of each backend is acknowledged, and returns the time that this took.
func (b *Testbed) StartProxies(ctx context.Context) (time.Duration, error) {
	started := time.Now()
	for i := range b.options.RealProxies {
		process, err := b.launch(RoleProxy, i, b.zones[i%len(b.zones)])
		if err != nil {
			return 0, err
		}
		b.realProxies = append(b.realProxies, process)
	}
	running, stop := context.WithCancel(context.Background())
	b.stop = stop
	b.startHollowProxies(running)
	b.startBackends(running)
	err := b.waitStarted(ctx)
	return time.Since(started), err
}

func (b *Testbed) startHollowProxies(ctx context.Context) {
	permits := make(chan struct{}, concurrentFirstPulls)
	pullWait := lease.PullWait(b.options.DrainTimeout)
	for i := range b.options.Proxies {
		zone := i % len(b.zones)
		member := message.Member{Node: fmt.Sprint("hollow-", i), Zone: b.zones[zone]}
		listenAddress := fmt.Sprintf("10.%d.%d.%d:%s", zone, i>>8, i&0xff, listenerPort)
		proxy := newProxy(member, listenAddress, b.pullAddresses(zone), pullWait, b.tracker)
		b.proxies = append(b.proxies, proxy)
		b.running.Go(func() { proxy.run(ctx, permits) })
	}
}

// startBackends starts the backends. Their heartbeats are spread evenly over the heartbeat interval.
func (b *Testbed) startBackends(ctx context.Context) {
	for i := range b.options.Backends {
		zone := i % len(b.zones)
		heartbeat := replication.Heartbeat{
			Service:    serviceName(i % b.serviceCount()),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", 128+zone, i>>8, i&0xff),
			Zone:       b.zones[zone],
			Version:    "v1",
			Capacity:   3,
			Phase:      replication.PhaseReady,
			WarmUpLeft: "0ms",
		}
		controllerAddress := net.JoinHostPort(b.host(firstControllerHost+zone), controlPort)
		backend := newBackend(fmt.Sprintf("i-%08x", i), heartbeat, controllerAddress, b.options.HeartbeatInterval)
		b.backends = append(b.backends, backend)
		delay := b.options.HeartbeatInterval * time.Duration(i) / time.Duration(b.options.Backends)
		b.running.Go(func() { backend.run(ctx, delay) })
	}
}

func (b *Testbed) waitStarted(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	allStarted := func() bool {
		synced, acknowledged := b.startProgress()
		return synced == len(b.proxies) && acknowledged == len(b.backends)
	}
	if !waitUntil(ctx, allStarted) {
		synced, acknowledged := b.startProgress()
		return errors.Errorf("start timed out: %d of %d proxies have the configuration, %d of %d backends are acknowledged",
			synced, len(b.proxies), acknowledged, len(b.backends))
	}
	return nil
}

// startProgress counts the hollow proxies with the whole configuration and the backends with an acknowledged heartbeat.
func (b *Testbed) startProgress() (synced, acknowledged int) {
	for _, proxy := range b.proxies {
		if proxy.synced.Load() {
			synced++
		}
	}
	for _, backend := range b.backends {
		if backend.acknowledged.Load() > 0 {
			acknowledged++
		}
	}
	return synced, acknowledged
}

// pollInterval is how often waitUntil evaluates its condition.
const pollInterval = 5 * time.Millisecond

// waitUntil waits for a condition, and reports whether it became true before the context ended.
func waitUntil(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
