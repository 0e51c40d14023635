package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/message"
)

// authority records whether the proxy holds the complete configuration, so that it may treat an unknown route as
// nonexistent. A controller that has verified completeness grants it (message.AuthorityConfirmed). It lasts while
// controllers that follow all changes renew the send lease.
type authority struct {
	held atomic.Bool // as of the last response
}

// holdsAuthority reports whether the proxy's configuration is complete and current. Without a valid send lease the
// proxy may have missed changes.
func (p *Proxy) holdsAuthority(now time.Time) bool {
	if !p.authority.held.Load() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LeaseValid(now)
}

// updateAuthority records whether the proxy's configuration is complete after a response was applied, and logs a
// change. wasAuthoritative is the result of holdsAuthority before the response was applied.
func (p *Proxy) updateAuthority(response *message.PullResponse, wasAuthoritative bool) {
	held := response.Authoritative(wasAuthoritative)
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
