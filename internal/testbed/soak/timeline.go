package soak

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// samplePeriod is the period of the samples of a timeline.
const samplePeriod = time.Second

// ageMetric is the metric of a proxy for the age of its configuration.
const ageMetric = "sagelever_configuration_age_seconds "

// sampleLoop samples the timeline until the context ends.
func (r *run) sampleLoop(ctx context.Context) {
	counted := 0
	for ctx.Err() == nil {
		wait(ctx, samplePeriod)
		records := r.requests.all()
		responses := map[int]int{}
		for _, record := range records[counted:] {
			responses[record.status]++
		}
		counted = len(records)
		entry := sample{at: time.Since(r.startedAt), responses: responses, maxConfigAge: r.maxConfigAge(ctx)}
		r.counts.mu.Lock()
		r.counts.samples = append(r.counts.samples, entry)
		r.counts.mu.Unlock()
	}
}

// maxConfigAge returns the maximum configuration age among the proxies that report it.
func (r *run) maxConfigAge(ctx context.Context) (age time.Duration) {
	for i := range r.plan.Proxies {
		_, page := r.get(ctx, "http://"+r.cluster.ReadinessAddress(i)+"/metrics", samplePeriod/4)
		for line := range strings.Lines(string(page)) {
			text, ok := strings.CutPrefix(line, ageMetric)
			if !ok {
				continue
			}
			if seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
				age = max(age, time.Duration(seconds*float64(time.Second)))
			}
		}
	}
	return age
}
