package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// In any second the proxies of a zone together send a backend that warms up no more requests than its warm-up rate and
// the allowance permit, and proxies of other zones send it none.
func TestWarmUpRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxyCount := rapid.IntRange(1, 3).Draw(t, "proxies")
		var proxies []*Balancer
		for range proxyCount {
			b := newTestBalancer("a1", nil)
			b.SetProxyCounts(12, proxyCount, start)
			proxies = append(proxies, b)
		}
		other := newTestBalancer("a2", nil)
		for _, b := range append(proxies, other) {
			b.addBackend("i1", "a1", "v1", 3*time.Second, start)
		}
		var sentAt []time.Time
		for ms := rapid.IntRange(0, 20).Draw(t, "offset"); ms < 3000; ms += 7 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, b := range proxies {
				request := b.startRequest(idempotentPath, now)
				if backend := b.Pick(request, now); backend != nil {
					sentAt = append(sentAt, now)
					b.ReportOutcome(request, backend, succeeded, now)
				}
			}
			if other.pickFor(idempotentPath, now) != nil {
				t.Fatal("a proxy of another zone sent a request to a backend that warms up")
			}
		}
		for i, first := range sentAt {
			withinSecond := 0
			for _, at := range sentAt[i:] {
				if at.Sub(first) < time.Second {
					withinSecond++
				}
			}
			if float64(withinSecond) > 5.4*1.5+5 {
				t.Fatalf("%d requests in a second", withinSecond)
			}
		}
		if len(sentAt) < 8 {
			t.Fatalf("%d requests in three seconds, want at least 8", len(sentAt))
		}
	})
}
