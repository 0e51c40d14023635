package server

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// orderGrace is the shutdown grace period of a controller that shuts down during an order.
	orderGrace = 6 * time.Second

	// largeChangeItems is a number of items for which a change may take longer than orderGrace.
	largeChangeItems = 2000

	// responseDelivery is the time that a response which has been written needs to reach a client of the test.
	responseDelivery = 200 * time.Millisecond
)

// freeze suspends a member: it accepts connections and calls, and answers none until resume is called.
func (c *testCluster) freeze(i int) (resume func()) {
	member := c.running[i]
	member.mu.Lock()
	return member.mu.Unlock
}

// largeChange returns a change that puts a service and largeChangeItems routes.
func largeChange() string {
	items := []string{serviceItem("s", "00000005", "h")}
	for i := range largeChangeItems {
		items = append(items, routeItem(fmt.Sprint("r", i), "00000005", fmt.Sprint("p", i), "s"))
	}
	return putItems(items...)
}

// orderResult is the response to an order.
type orderResult struct {
	status int // 0 if there is none
	text   string
}

// beginOrder makes a call in the background and waits until the member works on it.
func (c *testCluster) beginOrder(i int, query, body string) <-chan orderResult {
	c.t.Helper()
	result := make(chan orderResult, 1)
	go func() {
		status, text := c.call(i, query, body)
		result <- orderResult{status, text}
	}()
	waitUntil(c.t, "the order is in progress", func() bool { return c.running[i].operations.size() == 1 })
	return result
}

// Guards against orders that end without a response when the controller exits: an order in progress at SIGTERM is
// completed if that is possible within the shutdown grace period, and gets 503 otherwise.
func TestShutdownAnswersOrderInProgress(t *testing.T) {
	for _, test := range []struct {
		name       string
		resumeTime time.Duration // after SIGTERM; 0 for never
		status     int
	}{
		{"completed", orderGrace / 4, http.StatusOK},
		{"not completed", 0, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestCluster(t)
			cluster.shutdownGrace = orderGrace
			cluster.startAll()
			resume1, resume2 := cluster.freeze(1), cluster.freeze(2)
			result := cluster.beginOrder(0, "settings.change", largeChange())
			stoppedAt := time.Now()
			cluster.running[0].cancel()
			if test.resumeTime > 0 {
				time.AfterFunc(test.resumeTime, func() { resume1(); resume2() })
			} else {
				defer func() { resume1(); resume2() }()
			}
			<-cluster.running[0].done
			if took := time.Since(stoppedAt); took > orderGrace {
				t.Errorf("the shutdown took %v", took)
			}
			select {
			case got := <-result:
				if got.status != test.status {
					t.Errorf("the operator got %d %.200s, want %d", got.status, strings.TrimSpace(got.text), test.status)
				}
			case <-time.After(responseDelivery):
				t.Error("the process exits, and the operator has no response")
			}
		})
	}
}
