package soak

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// samplePeriod is the distance of the samples of a timeline.
const samplePeriod = time.Second

// ageMetric is the figure of a proxy that tells how old its configuration is.
const ageMetric = "sagelever_configuration_age_seconds "

// sampleLoop samples the timeline until the context ends.
func (r *run) sampleLoop(ctx context.Context) {
	counted := 0
	for ctx.Err() == nil {
		wait(ctx, samplePeriod)
		records := r.requests.all()
		answers := map[int]int{}
		for _, record := range records[counted:] {
			answers[record.status]++
		}
		counted = len(records)
		moment := sample{at: time.Since(r.startedAt), answers: answers, oldest: r.oldestConfiguration(ctx)}
		r.counts.mu.Lock()
		r.counts.samples = append(r.counts.samples, moment)
		r.counts.mu.Unlock()
	}
}

// oldestConfiguration returns the greatest age of the configuration of a proxy that tells it.
func (r *run) oldestConfiguration(ctx context.Context) (oldest time.Duration) {
	for i := range r.plan.Proxies {
		_, page := r.get(ctx, "http://"+r.cluster.ReadinessAddress(i)+"/metrics", samplePeriod/4)
		for line := range strings.Lines(string(page)) {
			text, ok := strings.CutPrefix(line, ageMetric)
			if !ok {
				continue
			}
			if seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
				oldest = max(oldest, time.Duration(seconds*float64(time.Second)))
			}
		}
	}
	return oldest
}
