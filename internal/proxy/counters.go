package proxy

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/telemetry"
)

// distanceClasses is the number of distances of a backend: in the same zone, in the same region, in another region.
const distanceClasses = 3

// counters count requests since the start of the proxy. They are logged at intervals; individual requests are not
// logged.
type counters struct {
	received     atomic.Int64    // requests from clients
	served       atomic.Int64    // responses forwarded that count as a success
	rejected     atomic.Int64    // answered by the proxy itself without being executed
	refused      refusalCounters // of these, answered 503, by the basis of the promise
	noRoute      atomic.Int64    // answered 404, as no route matched
	failed       atomic.Int64    // other responses forwarded, and errors after the request may have been executed
	dials        atomic.Int64    // connections opened to backends
	retries      atomic.Int64
	queued       atomic.Int64 // requests that waited for a backend
	aborted      atomic.Int64 // responses aborted before their end
	unanswered   atomic.Int64 // requests still in flight when the process exits
	healthChecks atomic.Int64 // health checks sent to backends
	withheld     atomic.Int64 // attempts withheld because the backend began to drain during the dial

	pullsAnswered atomic.Int64 // pulls with a response from a controller
	pullsFailed   atomic.Int64 // pulls without a response
	sourceChanges atomic.Int64 // responses from a different controller than the previous response

	sendsByDistance [distanceClasses]atomic.Int64
	bytesByDistance [distanceClasses]atomic.Int64 // of request and response bodies
}

// logTo logs all counters in one line, or nothing before the first request.
func (c *counters) logTo(log *zap.Logger) {
	if c.received.Load() == 0 {
		return
	}
	log.Info("request counters",
		zap.Int64("received", c.received.Load()),
		zap.Int64("served", c.served.Load()),
		zap.Int64("rejected", c.rejected.Load()),
		zap.Int64s("refusedByBasis", c.refused.loadAll()),
		zap.Int64("noRoute", c.noRoute.Load()),
		zap.Int64("failed", c.failed.Load()),
		zap.Int64("dials", c.dials.Load()),
		zap.Int64("retries", c.retries.Load()),
		zap.Int64("queued", c.queued.Load()),
		zap.Int64("aborted", c.aborted.Load()),
		zap.Int64("unanswered", c.unanswered.Load()),
		zap.Int64("healthChecks", c.healthChecks.Load()),
		zap.Int64("withheld", c.withheld.Load()),
		zap.Int64s("sendsByDistance", loadAll(&c.sendsByDistance)),
		zap.Int64s("bytesByDistance", loadAll(&c.bytesByDistance)),
	)
}

// logPullsTo logs the counters of the subscription. updateAge is the time since the latest answered pull was sent.
func (c *counters) logPullsTo(log *zap.Logger, source string, updateAge time.Duration) {
	log.Info("pull counters",
		zap.String("source", source),
		zap.Int64("updateAgeMs", updateAge.Milliseconds()),
		zap.Int64("answered", c.pullsAnswered.Load()),
		zap.Int64("failed", c.pullsFailed.Load()),
		zap.Int64("sourceChanges", c.sourceChanges.Load()),
	)
}

// metricsPage returns the metrics page of a proxy.
func (p *Proxy) metricsPage() *telemetry.Page {
	page := telemetry.NewPage()
	page.AddCounters(map[string]*atomic.Int64{
		"requests_received_total": &p.counters.received,
		"requests_served_total":   &p.counters.served,
		"requests_rejected_total": &p.counters.rejected,

		"requests_refused_not_attempted_total":     &p.counters.refused[notAttempted],
		"requests_refused_nothing_written_total":   &p.counters.refused[nothingWritten],
		"requests_refused_stated_by_backend_total": &p.counters.refused[statedByBackend],

		"requests_no_route_total":  &p.counters.noRoute,
		"requests_failed_total":    &p.counters.failed,
		"requests_queued_total":    &p.counters.queued,
		"responses_aborted_total":  &p.counters.aborted,
		"retries_total":            &p.counters.retries,
		"backend_dials_total":      &p.counters.dials,
		"health_checks_total":      &p.counters.healthChecks,
		"controller_pulls_total":   &p.counters.pullsAnswered,
		"controller_pulls_failed":  &p.counters.pullsFailed,
		"controller_changes_total": &p.counters.sourceChanges,
		"request_buffer_bytes":     &p.bufferedBytes,
	})
	page.Add("requests_in_flight", func() float64 { return float64(p.inFlight.count()) })
	page.Add("configuration_age_seconds", func() float64 { return p.subscription.updateAge(time.Now()).Seconds() })
	return page
}

func loadAll(values *[distanceClasses]atomic.Int64) []int64 {
	return []int64{values[0].Load(), values[1].Load(), values[2].Load()}
}
