package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
	"sagelever/internal/settings"
)

// earnRetryTokens lets a request add its share to the further tries that this relay may make. The allowance beside the share is
// split over the agents that there may be, with room for some that are not yet known; it is a cap on what is saved up and
// never given anew, so that in any period all relays together send again at most the share of what was asked in it, and
// the allowance once. A relay that starts has saved nothing: its life before may have spent all.
func (s *serviceState) earnRetryTokens(bounds settings.RuleLimits, proxies int) {
	s.retryTokens = min(s.retryTokens+bounds.RetryBudgetRatio, bounds.MaxExtraRetries/float64(proxies+unseenProxies(proxies)))
}

// unseenProxies is how many agents more than known are reckoned with: those that start before the news of them comes.
func unseenProxies(proxies int) int { return proxies/2 + 2 }

// MayRetry tells whether a request may be sent to another appliance after what has come of it, and takes the further try
// off the budget.
func (b *Balancer) MayRetry(request *Request, outcome Outcome, now time.Time) bool {
	if outcome.Withheld {
		return now.Before(request.Deadline) // it went nowhere: where it takes the place of a further try, that one is paid for
	}
	if outcome.Succeeded || outcome.Cancelled || !now.Before(request.Deadline) {
		return false
	}
	if !request.Route.Idempotent && request.Execution != retry.NotExecuted {
		return false // it may have run: it is never sent again
	}
	if outcome.Execution == retry.Executed && outcome.Status < 500 {
		return false // an answer like any other, or its own fault wherever it is sent
	}
	if request.Delivered >= request.Route.MaxAttempts || request.Sends >= request.Route.MaxAttempts+2 {
		return false // what never reached an appliance does not count among its tries, within bounds
	}
	if request.Delivered == 0 {
		return true // the next is the first that arrives
	}
	svc := b.service(request.Service)
	if svc.retryTokens < 1 {
		return false
	}
	svc.retryTokens--
	return true
}
