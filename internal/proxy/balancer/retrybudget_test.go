package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/proxy/retry"
)

// A complete response with a status below 500 is final: even an idempotent request is not retried.
func TestFinalResponsesAreNotRetried(t *testing.T) {
	for status, want := range map[int]bool{200: false, 204: false, 302: false, 304: false, 404: false, 500: true} {
		b := newTestBalancer("a1", nil)
		b.addBackend("i1", "a1", "v1", 0, start)
		b.services["s"].retryTokens = 9
		request := b.startRequest(idempotentPath, start)
		outcome := Outcome{Execution: retry.Executed, Status: status, Connected: true, Succeeded: status == 200}
		b.ReportOutcome(request, b.Pick(request, start), outcome, start)
		if got := b.AllowRetry(request, outcome, start); got != want {
			t.Errorf("status %d: retry allowed: %v, want %v", status, got, want)
		}
	}
}

// A non-idempotent request that may have been executed is never retried, whatever the outcomes of earlier attempts.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBalancer("a1", nil)
		b.addBackends(4, "a1")
		b.services["s"].retryTokens = 9
		request := b.startRequest(nonIdempotentPath, start)
		maybeExecuted := false
		for range 6 {
			backend := b.Pick(request, start)
			if backend == nil {
				return
			}
			if maybeExecuted {
				t.Fatal("the request was retried although it may have been executed")
			}
			outcomes := []Outcome{lostResponse, overloaded, connectFailed, serverError, succeeded}
			outcome := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			maybeExecuted = maybeExecuted || outcome.Execution != retry.NotExecuted
			b.ReportOutcome(request, backend, outcome, start)
			if !b.AllowRetry(request, outcome, start) {
				return
			}
		}
	})
}

// In any period the retries of all proxies together stay within the ratio and the allowance, even if all attempts are
// rejected, some proxies restart, and each proxy counts fewer proxies than there are.
func TestRetryBudgetAcrossProxies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const (
			proxyCount = 12
			period     = 10 // seconds
		)
		reported := rapid.IntRange(8, proxyCount).Draw(t, "known")
		restart := func() *Balancer {
			b := newTestBalancer("a1", nil)
			b.SetProxyCounts(reported, 3, start)
			b.addBackends(8, "a1")
			return b
		}
		var proxies []*Balancer
		for range proxyCount {
			proxies = append(proxies, restart())
		}
		var requests, retries [30]float64 // counts by second
		for second := range requests {
			now := start.Add(time.Duration(second) * time.Second)
			for range rng.IntN(120) {
				chosen := rng.IntN(proxyCount)
				if rng.IntN(400) == 0 {
					proxies[chosen] = restart()
				}
				requests[second]++
				retries[second] += overloadedRetries(proxies[chosen], now)
			}
		}
		for end := period; end <= len(requests); end++ {
			var requestSum, retrySum float64
			for second := end - period; second < end; second++ {
				requestSum += requests[second]
				retrySum += retries[second]
			}
			if retrySum > 0.2*requestSum+64 {
				t.Fatalf("%v retries of %v requests in the %d s before second %d", retrySum, requestSum, period, end)
			}
		}
	})
}

// overloadedRetries sends a request whose attempts are all rejected, retries it while that is allowed, and returns the
// number of retries.
func overloadedRetries(b *Balancer, now time.Time) (retries float64) {
	request := b.startRequest(idempotentPath, now)
	for {
		backend := b.Pick(request, now)
		if backend == nil {
			return retries
		}
		backend.health = passiveHealth{}
		b.ReportOutcome(request, backend, overloaded, now)
		backend.health = passiveHealth{}
		if request.Delivered > 1 {
			retries++
		}
		if !b.AllowRetry(request, overloaded, now) {
			return retries
		}
	}
}
