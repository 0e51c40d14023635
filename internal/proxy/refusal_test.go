package proxy

import (
	"net/http"
	"testing"

	"sagelever/internal/proxy/draining"
)

// Guards against refusals whose cause can't be found afterwards: each is counted by what its promise rests on.
func TestRefusalIsCountedByBasis(t *testing.T) {
	full, _ := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerTryID, r.Header.Get(headerTryID))
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for _, test := range []struct {
		basis   refusalBasis
		address string // of the only backend; "" if there is none
	}{
		{notAttempted, ""},
		{nothingWritten, freeAddress(t)},
		{statedByBackend, full},
	} {
		proxy := startProxy(t)
		if test.address != "" {
			proxy.controller.publish(backendItem("i1", test.address))
			waitFor(t, "the backend is known", func() bool { return proxy.backendInState("i1", draining.Serving) })
		}
		response := proxy.do("POST", "/o/1", "x")
		var want [refusalBaseCount]int64
		want[test.basis] = 1
		got := [refusalBaseCount]int64(proxy.counters.refused.loadAll())
		if !response.completedWith(http.StatusServiceUnavailable) || got != want {
			t.Errorf("%v: %v, refusals by basis %v", test.basis, response, got)
		}
	}
}
