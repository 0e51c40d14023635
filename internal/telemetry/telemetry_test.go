package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// A page has a line for each metric, with its value at the time of the request.
func TestPage(t *testing.T) {
	page := NewPage()
	value := 1.5
	page.Add("pulls_failed", func() float64 { return value })
	page.Add("update_age_seconds", func() float64 { return 3 })
	value = 7
	recorder := httptest.NewRecorder()
	page.ServeHTTP(recorder, httptest.NewRequest("GET", Path, nil))
	for _, line := range []string{"sagelever_pulls_failed 7\n", "sagelever_update_age_seconds 3\n"} {
		if !strings.Contains(recorder.Body.String(), line) {
			t.Errorf("%q is missing in %q", line, recorder.Body.String())
		}
	}
}
