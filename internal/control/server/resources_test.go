package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sagelever/internal/settings"
	"sagelever/internal/telemetry"
)

// Orders are rejected with 503 and a Retry-After header if the use of a resource is above three quarters of its limit,
// and accepted if there is no limit.
func TestOrdersNearResourceLimits(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name        string
		limits      settings.ResourceLimits
		connections int64
		memoryBytes uint64
		want        int
	}{
		{"no limits", settings.ResourceLimits{}, 1 << 20, 1 << 40, http.StatusOK},
		{"below both", settings.ResourceLimits{OpenFiles: 100, MemoryMB: 100}, 75, 75 << 20, http.StatusOK},
		{"connections", settings.ResourceLimits{OpenFiles: 100, MemoryMB: 100}, 76, 0, http.StatusServiceUnavailable},
		{"memory", settings.ResourceLimits{OpenFiles: 100, MemoryMB: 100}, 0, 76 << 20, http.StatusServiceUnavailable},
	} {
		s := &Server{settings: &settings.Settings{Resources: test.limits}}
		s.resources.connections.Store(test.connections)
		s.resources.memoryBytes.Store(test.memoryBytes)
		taken := false
		handler := s.admitOrder(func(w http.ResponseWriter, _ *http.Request) error {
			taken = true
			writeOK(w)
			return nil
		})
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/api/rpc", nil))
		if recorder.Code != test.want || taken != (test.want == http.StatusOK) {
			t.Errorf("%s: %d, taken %t; want %d", test.name, recorder.Code, taken, test.want)
		}
		if test.want == http.StatusServiceUnavailable && recorder.Header().Get("Retry-After") == "" {
			t.Errorf("%s: no Retry-After", test.name)
		}
	}
}

// The monitor counts the open connections and measures the memory in use.
func TestResourceMonitor(t *testing.T) {
	t.Parallel()
	monitor := &resourceMonitor{}
	for _, state := range []http.ConnState{
		http.StateNew, http.StateActive, http.StateNew, http.StateIdle, http.StateClosed, http.StateNew, http.StateHijacked,
	} {
		monitor.trackConnection(nil, state)
	}
	monitor.sampleMemory()
	if usage := monitor.usage(); usage.connections != 1 || usage.memoryBytes < 1<<20 {
		t.Errorf("%d connections, want 1; %d bytes", usage.connections, usage.memoryBytes)
	}
}

// The control address serves the controller's metrics.
func TestControllerMetrics(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	response, err := http.Get("http://" + cluster.controlAddress(0) + telemetry.Path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || !strings.Contains(string(text), "\nsagelever_round_defeats_total ") {
		t.Errorf("%d, %v: %s", response.StatusCode, err, text)
	}
}
