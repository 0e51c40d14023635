package client

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/drain"
)

// Withdrawing a drain that does not exist is an error, unless a controller without a definite response may have
// withdrawn it.
func TestUndrainMissing(t *testing.T) {
	busy := startStatus(t, http.StatusServiceUnavailable, "later")
	rejecting := startStatus(t, http.StatusNotFound, "no such thing")
	for _, tt := range []struct {
		name      string
		endpoints []string
		wantErr   bool
	}{
		{"first endpoint", []string{rejecting}, true},
		{"after an unreachable one", []string{unreachableAddress(t), rejecting}, true},
		{"after a busy one", []string{busy, rejecting}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			err := New(tt.endpoints).Undrain(testContext(t, 5*time.Second), "x")
			if (err != nil) != tt.wantErr {
				t.Errorf("got %v, want an error: %v", err, tt.wantErr)
			}
		})
	}
}

// fakeController accepts drains of the backends i1 and i2, which are all backends in zone z, as long as no more than
// maxDrained of them are drained.
type fakeController struct {
	t          *testing.T
	drained    map[string]bool // by target
	maxDrained int             // backends that may be drained at the same time
}

// drainedWith returns the number of drained backends if another target were drained too.
func (f *fakeController) drainedWith(target string) int {
	count := 0
	for _, id := range []string{"i1", "i2"} {
		if f.drained[id] || f.drained["z"] || target == id || target == "z" {
			count++
		}
	}
	return count
}

func (f *fakeController) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("call") == "drains.end" {
		delete(f.drained, query.Get("of"))
		return
	}
	body, _ := io.ReadAll(r.Body)
	order := &drain.BeginRequest{}
	if err := easyjson.Unmarshal(body, order); err != nil {
		f.t.Errorf("%s: %v", body, err)
	}
	if f.drainedWith(order.Target) > f.maxDrained && !order.Force {
		shortfall := drain.CapacityShortfall{Service: "s", Required: 3, Remaining: 1, Current: 6}
		response, _ := easyjson.Marshal(&drain.Response{
			Target:     order.Target,
			Shortfalls: []drain.CapacityShortfall{shortfall},
			Backends:   []string{"i1", "i2"},
		})
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write(response)
		return
	}
	f.drained[order.Target] = true
	_, _ = io.WriteString(w, `{"target":"z"}`)
}

// If the whole target can't be drained for lack of capacity, its backends are drained one after the other. If the
// context ends first, the backends drained so far stay drained, and the error lists them.
func TestDrainGraduallyTimeout(t *testing.T) {
	controller := &fakeController{t: t, drained: map[string]bool{}, maxDrained: 1}
	client := New([]string{startServer(t, controller.ServeHTTP)})
	var reports []string
	report := func(text string) { reports = append(reports, text) }
	err := client.DrainGradually(testContext(t, 100*time.Millisecond), "z", report)
	if err == nil || !strings.Contains(err.Error(), "drained so far: i1") {
		t.Errorf("got %v", err)
	}
	if !controller.drained["i1"] || controller.drained["i2"] {
		t.Errorf("drained: %v", controller.drained)
	}
	const shortfall = "3.0 slots are at work, 1.0 would be left of 6.0"
	if len(reports) != 2 || !strings.Contains(reports[1], shortfall) {
		t.Errorf("reports: %q", reports)
	}
}

// A target is drained with one call if enough capacity remains.
func TestDrainGradually(t *testing.T) {
	controller := &fakeController{t: t, drained: map[string]bool{}, maxDrained: 2}
	client := New([]string{startServer(t, controller.ServeHTTP)})
	if err := client.DrainGradually(testContext(t, 5*time.Second), "z", func(string) {}); err != nil {
		t.Error(err)
	}
	if len(controller.drained) != 1 || !controller.drained["z"] {
		t.Errorf("drained: %v", controller.drained)
	}
}

// After the backends were drained one after the other, one drain of the target replaces their drains.
func TestDrainGraduallyReplacesDrains(t *testing.T) {
	controller := &fakeController{t: t, drained: map[string]bool{}, maxDrained: 1}
	client := New([]string{startServer(t, controller.ServeHTTP)})
	report := func(text string) {
		if strings.Contains(text, "i2") {
			controller.maxDrained = 2
		}
	}
	if err := client.DrainGradually(testContext(t, 5*time.Second), "z", report); err != nil {
		t.Error(err)
	}
	if len(controller.drained) != 1 || !controller.drained["z"] {
		t.Errorf("drained: %v", controller.drained)
	}
}
