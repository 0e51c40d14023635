package balancer

import (
	"testing"

	"sagelever/internal/proxy/retry"
)

// A whole answer below 500 is the request's answer: nothing is sent again, whatever may be repeated.
func TestFinalAnswersAreNotRetried(t *testing.T) {
	for status, want := range map[int]bool{200: false, 204: false, 302: false, 304: false, 404: false, 500: true} {
		s := newTestBalancer("a1", nil)
		s.addBackend("i1", "a1", "v1", 0, start)
		s.services["s"].retryTokens = 9
		r, got := s.startRequest("/s/1", start), Outcome{Execution: retry.Executed, Status: status, Connected: true, Succeeded: status == 200}
		s.ReportOutcome(r, s.Pick(r, start), got, start)
		if again := s.MayRetry(r, got, start); again != want {
			t.Errorf("%d: sent again: %v", status, again)
		}
	}
}
