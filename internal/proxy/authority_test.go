package proxy

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"

	"sagelever/internal/control/config"
	"sagelever/internal/control/message"
	"sagelever/internal/settings"
)

// startUnreadyProxy starts a proxy whose controller may lack a part of the configuration. It does not wait until the
// proxy is ready.
func startUnreadyProxy(t *testing.T, backend string) *testProxy {
	t.Helper()
	controller := newFakeController()
	controller.setAuthority(message.AuthorityUnverified)
	server := httptest.NewServer(controller)
	t.Cleanup(server.Close)
	controller.publish(
		configItem(config.Key(config.KindServices, "s"), 1, `{"checkPath":"/h","warmUp":"0s","warmingRateS":5}`),
		configItem(config.Key(config.KindRoutes, "safe"), 1, idempotentRoute),
		backendItem("i1", backend))
	proxy := &testProxy{controller: controller, clientAddr: freeAddress(t), done: make(chan struct{})}
	limits := settings.RuleLimits{ShutdownGrace: 600 * time.Millisecond}
	nodeSettings := testSettings(t, server.Listener.Addr(), limits)
	nodeSettings.ListenAddresses = map[string]string{"front": proxy.clientAddr, "readyCheck": freeAddress(t)}
	proxy.Proxy = New(Options{Log: zap.NewNop(), Settings: nodeSettings})
	proxy.balancer.SetProxyCounts(1, 1, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		defer close(proxy.done)
		_ = proxy.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-proxy.done
	})
	return proxy
}

// While the controllers of a proxy may lack a part of the configuration, the proxy must not answer 404 for an unknown
// route, but must serve the routes that it knows. It may answer 404 once a controller confirms that its configuration
// is complete. Regression test for the incident of issue 57.
func TestUnknownRouteBeforeAuthority(t *testing.T) {
	address, _ := startBackend(t, serveSealed)
	proxy := startUnreadyProxy(t, address)
	waitFor(t, "the route is known", func() bool { return proxy.routingTable.Load() != nil })
	waitFor(t, "a known route is served", func() bool { return proxy.do("GET", "/s/1", "").completedWith(200) })
	if response := proxy.do("GET", "/none/", ""); !response.completedWith(503) || response.header.Get("Retry-After") == "" {
		t.Errorf("an unknown route before the configuration is complete: %v, want 503 with Retry-After", response)
	}

	proxy.controller.setAuthority(message.AuthorityConfirmed)
	waitFor(t, "an unknown route gets a 404", func() bool { return proxy.do("GET", "/none/", "").completedWith(404) })

	// A restarted controller may lack values that were acknowledged before its restart, and so may the proxy.
	proxy.controller.setAuthority(message.AuthorityUnverified)
	waitFor(t, "an unknown route gets a 503", func() bool { return proxy.do("GET", "/none/", "").completedWith(503) })
	if response := proxy.do("GET", "/s/1", ""); !response.completedWith(200) || !proxy.ready() {
		t.Errorf("a known route: %v, want 200; ready: %v, want true", response, proxy.ready())
	}
	proxy.controller.setAuthority(message.AuthorityFollowing) // does not confirm that the missing part has arrived
	proxy.controller.publish(routeItem(config.Key(config.KindRoutes, "more"), 2, "/m/"))
	waitFor(t, "another route is known", func() bool { return proxy.routingTable.Load().FindRoute("h", "/m/1") != nil })
	if response := proxy.do("GET", "/none/", ""); !response.completedWith(503) {
		t.Errorf("an unknown route: %v, want 503", response)
	}
}

// A configuration without items counts as no configuration, so that an unknown route gets 503 and not 404.
func TestEmptyConfigurationGivesNo404(t *testing.T) {
	proxy := startProxy(t)
	waitFor(t, "an unknown route gets a 404", func() bool { return proxy.do("GET", "/none/", "").completedWith(404) })
	table := *proxy.routingTable.Load()
	table.ItemCount = 0
	proxy.routingTable.Store(&table)
	if response := proxy.do("GET", "/none/", ""); !response.completedWith(503) {
		t.Error(fmt.Sprint("an unknown route without configuration items, want 503: ", response))
	}
}
