package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
	"sagelever/internal/settings"
)

// extraSends is by how much the attempts of a request may exceed those that its route allows, where some of them never
// reached a backend.
const extraSends = 2

// earnRetryTokens lets a request add its share to the retries that this proxy may make. The allowance beside the share
// is split over the proxies that there may be; it caps what is saved up and is never given anew, so that in any period
// all proxies together retry at most the share of what was requested in it, and the allowance once. A proxy that starts
// has saved nothing, as its previous incarnation may have spent everything.
func (s *serviceState) earnRetryTokens(bounds settings.RuleLimits, proxies int) {
	limit := bounds.MaxExtraRetries / float64(proxies+unseenProxies(proxies))
	s.retryTokens = min(s.retryTokens+bounds.RetryBudgetRatio, limit)
}

// unseenProxies returns how many proxies beyond the known ones are reckoned with: those that start before the update
// that reports them has come.
func unseenProxies(proxies int) int { return proxies/2 + 2 }

// AllowRetry reports whether a request may be sent to another backend after the outcome of an attempt, and takes the
// retry off the budget.
func (b *Balancer) AllowRetry(request *Request, outcome Outcome, now time.Time) bool {
	if outcome.Withheld {
		return now.Before(request.Deadline) // it was not sent: where it took the place of a retry, that one is paid for
	}
	if outcome.Succeeded || outcome.Cancelled || !now.Before(request.Deadline) {
		return false
	}
	if !request.Route.Idempotent && request.Execution != retry.NotExecuted {
		return false // it may have been executed: it is never sent again
	}
	if outcome.Execution == retry.Executed && outcome.Status < statusInternalServerError {
		return false // a final response, or the request's own fault wherever it is sent
	}
	// What never reached a backend does not count among the attempts of the route, within bounds.
	if request.Delivered >= request.Route.MaxAttempts || request.Attempts >= request.Route.MaxAttempts+extraSends {
		return false
	}
	if request.Delivered == 0 {
		return true // the next attempt is the first that arrives
	}
	svc := b.service(request.Service)
	if svc.retryTokens < 1 {
		return false
	}
	svc.retryTokens--
	return true
}
