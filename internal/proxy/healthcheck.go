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

// healthCheckTimeout bounds a health check, including the dial.
const healthCheckTimeout = time.Second

// startHealthChecks runs the health checks in the background. Each ends within healthCheckTimeout and reports its
// result to the balancer.
func (p *Proxy) startHealthChecks(checks []balancer.HealthCheck) {
	for _, check := range checks {
		go p.checkHealth(check)
	}
}

// checkHealth sends a health check to a backend and reports the result to the balancer. A failed request is reported as
// an unreachable backend.
func (p *Proxy) checkHealth(check balancer.HealthCheck) {
	p.counters.healthChecks.Add(1)
	result := balancer.HealthCheckResult{SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	request, err := newHealthCheckRequest(ctx, check)
	if err != nil {
		return // the configured path is not a valid URL path
	}
	if resp, err := p.transport.RoundTrip(request); err == nil {
		_, _ = io.CopyN(io.Discard, resp.Body, upstream.MaxHeaderBytes) // the body is ignored
		_ = resp.Body.Close()
		parseHealthResponse(&result, check, resp)
	}
	p.mu.Lock()
	p.balancer.ReportHealthCheck(check.BackendID, result, time.Now())
	p.mu.Unlock()
}

// newHealthCheckRequest returns the request of a health check. Responses with a try id are skipped, because they are
// late responses to earlier client requests on the same connection.
func newHealthCheckRequest(ctx context.Context, check balancer.HealthCheck) (*http.Request, error) {
	exchange := &upstream.Exchange{
		MatchesResponse: func(header http.Header) bool { return header.Get(headerTryID) == "" },
	}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*upstream.Conn).Assign(exchange) },
	}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+check.Address+check.Path, nil)
	if err != nil {
		return nil, err
	}
	request.URL.Host = destination{check.BackendID, check.Address}.host()
	return request, nil
}

// parseHealthResponse fills in result from the response of a backend.
func parseHealthResponse(result *balancer.HealthCheckResult, check balancer.HealthCheck, resp *http.Response) {
	id := resp.Header.Get(headerServerID)
	result.Reachable = true
	result.WrongBackend = id != "" && id != check.BackendID
	result.Serving = resp.StatusCode == http.StatusOK && id == check.BackendID
	if ms, err := strconv.ParseInt(resp.Header.Get(headerWarmUp), 10, 32); err == nil && ms > 0 {
		result.WarmUpLeft = time.Duration(ms) * time.Millisecond
	}
}
