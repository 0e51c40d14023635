// Package telemetry serves the metrics of a process as text for monitoring and for the analysis of incidents.
package telemetry

import (
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the URL path on which a role serves its page of metrics.
const Path = "/metrics"

// namePrefix is the prefix of the names of all metrics.
const namePrefix = "sagelever_"

// Page holds the metrics of one process and serves them in the Prometheus text format. Create it with NewPage.
type Page struct {
	set *metrics.Set
}

// NewPage returns a page without metrics.
func NewPage() *Page { return &Page{set: metrics.NewSet()} }

// Add adds a gauge. The page calls read for its value on each request. Each name may be added only once.
func (p *Page) Add(name string, read func() float64) { p.set.NewGauge(namePrefix+name, read) }

// AddCounters adds a gauge for each counter, by its name.
func (p *Page) AddCounters(counters map[string]*atomic.Int64) {
	for name, counter := range counters {
		p.Add(name, func() float64 { return float64(counter.Load()) })
	}
}

// ServeHTTP implements http.Handler.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header()["Date"] = nil
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	p.set.WritePrometheus(w)
}
