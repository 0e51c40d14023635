package server

import (
	"net/http"
	"testing"
	"time"

	"sagelever/internal/control/drain"
)

// lateOrder is an order that a member has read and not begun.
type lateOrder struct {
	cluster   *testCluster
	suspended *testMember
	status    chan int
}

// holdOrder sends an order to a member that is suspended before it begins the order, and waits until the caller would
// have turned to another controller.
func (c *testCluster) holdOrder(i int, query, body string) *lateOrder {
	order := &lateOrder{cluster: c, suspended: c.running[i], status: make(chan int, 1)}
	order.suspended.mu.Lock()
	go func() {
		status, _ := c.call(i, query, body)
		order.status <- status
	}()
	time.Sleep(callerPatience)
	return order
}

// resume lets the member go on and checks that it answers the order with 503.
func (o *lateOrder) resume() {
	o.cluster.t.Helper()
	o.suspended.mu.Unlock()
	if status := <-o.status; status != http.StatusServiceUnavailable {
		o.cluster.t.Errorf("a late copy gets %d, want 503", status)
	}
}

// activeDrains returns the targets of the drains in force.
func (c *testCluster) activeDrains() (targets []string) {
	c.t.Helper()
	values, err := c.running[1].readPrefix(c.t.Context(), drain.ListKey(""))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, active := range drain.ActiveDrains(values) {
		targets = append(targets, active.Target)
	}
	return targets
}

// Guards against a drain that begins anew after it was withdrawn: a late copy of its beginning is carried out.
func TestLateDrainBegin(t *testing.T) {
	t.Parallel()
	const body = `{"target":"a1","force":true}`
	cluster := newStartedCluster(t)
	late := cluster.holdOrder(0, "drains.begin", body)
	cluster.mustCall(1, "drains.begin", body)
	cluster.mustCall(1, "drains.end&of=a1", "")
	late.resume()
	if active := cluster.activeDrains(); len(active) != 0 {
		t.Errorf("%v is drained after the drain was withdrawn", active)
	}
}

// Guards against a drain that ends although it was ordered again: a late copy of an earlier withdrawal is carried out.
func TestLateDrainEnd(t *testing.T) {
	t.Parallel()
	const body = `{"target":"a1","force":true}`
	cluster := newStartedCluster(t)
	cluster.mustCall(1, "drains.begin", body)
	late := cluster.holdOrder(0, "drains.end&of=a1", "")
	cluster.mustCall(1, "drains.end&of=a1", "")
	cluster.mustCall(1, "drains.begin", body)
	late.resume()
	if active := cluster.activeDrains(); len(active) != 1 {
		t.Errorf("drained: %v, want a1", active)
	}
}
