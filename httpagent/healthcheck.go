package httpagent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/agent/transaction"
)

// Paths of a backend's health check: without and with a load report in the body.
const (
	pingPath = "/ping"
	loadPath = "/_load"
)

// checkHealth sends a health check to a backend and delivers the result to the policy.
func (a *Agent) checkHealth(ctx context.Context, id api.BackendID) {
	path := pingPath
	if fields := setting(a.station, "load.fields", []string(nil)); len(fields) > 0 {
		path = loadPath
	}
	startedAt := time.Now()
	target := a.backends.get(id)
	if target == nil {
		a.engine.Deliver(api.HealthChecked{Backend: id, Outcome: api.Unreachable})
		return
	}
	ctx, cancel := context.WithTimeoutCause(ctx, setting(a.station, "link.dial", time.Second), transaction.ErrTimedOut)
	defer cancel()
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: target.address, Path: path},
		Host:   target.address,
		Header: http.Header{},
	}
	response, err := target.do(ctx, req, nil)
	checked := api.HealthChecked{Backend: id, Outcome: outcomeOf(response, err), Elapsed: time.Since(startedAt)}
	if response != nil {
		if response.status == http.StatusOK && path == loadPath {
			checked.Load = transaction.ParseLoadReport(string(response.body))
		}
		response.release()
	}
	a.engine.Deliver(checked)
}
