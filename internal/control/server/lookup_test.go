package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
)

// The response to a lookup contains the addresses and how long they may be used.
func TestFormatLookup(t *testing.T) {
	t.Parallel()
	want := []string{"10.0.0.1:80", "[fd00::1]:80"}
	var got struct {
		Addresses []string `json:"addresses"`
		Valid     string   `json:"valid"`
	}
	if err := json.Unmarshal(formatLookup(want, 1500*time.Millisecond), &got); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(got.Addresses, want) || got.Valid != "1.5s" {
		t.Errorf("got %+v", got)
	}
}

// If there is no proxy, the response to a lookup is 503, so that the client tries another controller.
func TestLookupWithoutProxies(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	server, err := New(Options{Settings: cluster.settings(0, true), MembersPerZone: 1, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := server.store.Close(); err != nil {
			t.Error(err)
		}
	})
	recorder := httptest.NewRecorder()
	server.lookupHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/api/lookup?zone=a1", nil))
	if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("Retry-After") == "" {
		t.Errorf("got %d, headers %v", recorder.Code, recorder.Header())
	}
}
