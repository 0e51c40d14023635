package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"sagelever/internal/proxy/balancer"
	"sagelever/internal/upstream"
)

// healthCheckTimeout is how long a backend may take for its response to a health check.
const healthCheckTimeout = time.Second

// startHealthChecks sends the health checks and reports their results to the balancer. It does not wait for them; each
// ends within healthCheckTimeout.
func (p *Proxy) startHealthChecks(checks []balancer.HealthCheck) {
	for _, check := range checks {
		go p.checkHealth(check)
	}
}

// checkHealth asks a backend whether it serves. A backend that cannot be reached is reported as such.
func (p *Proxy) checkHealth(check balancer.HealthCheck) {
	p.counters.healthChecks.Add(1)
	result := balancer.HealthCheckResult{SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	request, err := newHealthCheckRequest(ctx, check)
	if err != nil {
		return // the path in the configuration makes no URL
	}
	if resp, err := p.transport.RoundTrip(request); err == nil {
		_, _ = io.CopyN(io.Discard, resp.Body, upstream.MaxHeaderBytes) // only the header counts
		_ = resp.Body.Close()
		parseHealthResponse(&result, check, resp)
	}
	p.mu.Lock()
	p.balancer.HealthCheckDone(check.BackendID, result, time.Now())
	p.mu.Unlock()
}

// newHealthCheckRequest makes the request of a health check. A response with the id of a try is skipped: it is a late
// one to a request that the same connection carried before.
func newHealthCheckRequest(ctx context.Context, check balancer.HealthCheck) (*http.Request, error) {
	exchange := &upstream.Exchange{
		MatchesResponse: func(header http.Header) bool { return header.Get(headerTryID) == "" },
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*upstream.Conn).Assign(exchange) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+check.Address+check.Path, nil)
}

// parseHealthResponse fills in what a backend says about itself.
func parseHealthResponse(result *balancer.HealthCheckResult, check balancer.HealthCheck, resp *http.Response) {
	id := resp.Header.Get(headerServerID)
	result.Reachable = true
	result.WrongBackend = id != "" && id != check.BackendID
	result.Serving = resp.StatusCode == http.StatusOK && id == check.BackendID
	if ms, err := strconv.ParseInt(resp.Header.Get(headerWarmUp), 10, 32); err == nil && ms > 0 {
		result.WarmUpLeft = time.Duration(ms) * time.Millisecond
	}
}
