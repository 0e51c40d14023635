package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/message"
)

// authority says whether the proxy knows the whole configuration, so that what it doesn't know doesn't exist. It is
// given by a controller that has made sure of it (message.AuthorityConfirmed), and lasts while controllers that keep up
// with all changes renew the send lease.
type authority struct {
	held atomic.Bool // as of the last response
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
	p.log.Info("configuration complete",
		zap.Int("items", p.routingTable.Load().ItemCount),
		zap.String("controller", response.Source),
		zap.Int64("sinceStartMs", time.Since(p.startedAt).Milliseconds()))
}
