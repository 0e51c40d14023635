package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/message"
)

// authorityWait is how long after its start a proxy sends no request by a configuration that may lack a part. It then
// serves with what it knows: controllers that are cut off from the others can't tell what is missing.
const authorityWait = 2500 * time.Millisecond

// authority says whether the proxy knows the whole configuration, so that what it doesn't know doesn't exist. It is
// given by a controller that has made sure of it (message.AuthorityConfirmed), and lasts while controllers that keep up
// with all changes renew the send lease.
type authority struct {
	held atomic.Bool // as of the last response
	once atomic.Bool // it was held at some time
}

// holdsAuthority reports whether the proxy knows the whole configuration now. Without a valid send lease it may have
// missed changes.
func (p *Proxy) holdsAuthority(now time.Time) bool {
	if !p.authority.held.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LeaseValid(now)
}

// awaitsAuthority reports whether the proxy has never known the whole configuration and soon may. A route that it knows
// may be the wrong one for a request then, as one with a longer prefix may be missing.
func (p *Proxy) awaitsAuthority(now time.Time) bool {
	return !p.authority.once.Load() && now.Sub(p.startedAt) < authorityWait
}

// updateAuthority takes what a response says of the configuration that the proxy has by now. before is whether the proxy
// knew the whole configuration when the response came.
func (p *Proxy) updateAuthority(response *message.PullResponse, before bool) {
	held := response.Authoritative(before)
	if held == p.authority.held.Swap(held) {
		return
	}
	if !held {
		p.log.Info("configuration may lack a part", zap.String("controller", response.Source))
		return
	}
	p.authority.once.Store(true)
	p.log.Info("configuration complete",
		zap.Int("items", p.routingTable.Load().ItemCount),
		zap.String("controller", response.Source),
		zap.Int64("sinceStartMs", time.Since(p.startedAt).Milliseconds()))
}
