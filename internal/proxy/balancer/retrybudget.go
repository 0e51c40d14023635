package balancer

import (
	"time"

	"sagelever/internal/proxy/retry"
	"sagelever/internal/settings"
)

// maxUndeliveredAttempts is how many attempts a request may have in addition to those that its route allows, if some
// attempts never reached a backend.
const maxUndeliveredAttempts = 2

// addRetryTokens adds the tokens that one request contributes to this proxy's retry budget. The tokens are capped at
// this proxy's part of MaxExtraRetries, which is divided by an upper bound on the number of proxies. Only requests add
// tokens. In any period all proxies together thus retry at most RetryBudgetRatio of the requests of the period, plus
// MaxExtraRetries once. A proxy starts without tokens, because its previous incarnation may have spent all of them.
func (s *serviceState) addRetryTokens(bounds settings.RuleLimits, proxies int) {
	limit := bounds.MaxExtraRetries / float64(proxies+unreportedProxies(proxies))
	s.retryTokens = min(s.retryTokens+bounds.RetryBudgetRatio, limit)
}

// unreportedProxies returns an upper bound on the number of proxies that have started but are not yet reported to this
// proxy: half the number of reported ones, and two.
func unreportedProxies(proxies int) int { return proxies/2 + 2 }

// AllowRetry reports whether a request may be sent to another backend after the outcome of an attempt. It takes a token
// from the retry budget if the retry needs one.
func (b *Balancer) AllowRetry(request *Request, outcome Outcome, now time.Time) bool {
	if outcome.Withheld {
		return now.Before(request.Deadline) // nothing was sent; if the attempt was a retry, its token is already taken
	}
	if outcome.Succeeded || outcome.Cancelled || !now.Before(request.Deadline) {
		return false
	}
	if !request.Route.Idempotent && request.Execution != retry.NotExecuted {
		return false // a non-idempotent request that may have been executed must not be sent again
	}
	if outcome.Execution == retry.Executed && outcome.Status < statusInternalServerError {
		return false // the response is final: a success, or an error that any backend would return for this request
	}
	// Up to maxUndeliveredAttempts, attempts that never reached a backend do not count against MaxAttempts.
	if request.Delivered >= request.Route.MaxAttempts ||
		request.Attempts >= request.Route.MaxAttempts+maxUndeliveredAttempts {
		return false
	}
	if request.Delivered == 0 {
		return true // no backend has received the request yet, so that the next attempt is not a retry
	}
	svc := b.service(request.Service)
	if svc.retryTokens < 1 {
		return false
	}
	svc.retryTokens--
	return true
}
