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

// startHealthChecks puts questions, each by itself.
func (p *Proxy) startHealthChecks(checks []balancer.HealthCheck) {
	for _, check := range checks {
		go p.checkHealth(check)
	}
}

// healthCheckTimeout is how long an appliance's own word is waited for.
const healthCheckTimeout = time.Second

// checkHealth asks an appliance whether it serves.
func (p *Proxy) checkHealth(check balancer.HealthCheck) {
	p.counters.healthChecks.Add(1)
	result := balancer.HealthCheckResult{SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	// An answer with the id of a try is a late one to a request that had this connection before.
	exchange := &upstream.Exchange{MatchesResponse: func(h http.Header) bool { return h.Get(headerTryID) == "" }}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*upstream.Conn).Assign(exchange) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+check.Address+check.Path, nil)
	if err != nil {
		return
	}
	if resp, err := p.transport.RoundTrip(req); err == nil {
		io.CopyN(io.Discard, resp.Body, upstream.MaxHeaderBytes)
		resp.Body.Close()
		parseHealthResponse(&result, check, resp)
	}
	p.mu.Lock()
	p.balancer.HealthCheckDone(check.BackendID, result, time.Now())
	p.mu.Unlock()
}

// parseHealthResponse reads what an appliance says of itself.
func parseHealthResponse(result *balancer.HealthCheckResult, check balancer.HealthCheck, resp *http.Response) {
	id := resp.Header.Get(headerServerID)
	result.Reachable, result.WrongBackend = true, id != "" && id != check.BackendID
	result.Serving = resp.StatusCode == http.StatusOK && id == check.BackendID
	if ms, err := strconv.ParseInt(resp.Header.Get(headerWarmUp), 10, 32); err == nil && ms > 0 {
		result.WarmUpLeft = time.Duration(ms) * time.Millisecond
	}
}
