package server

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/release"
)

// releaseTarget returns the version that is being released.
func (c *testCluster) releaseTarget(service string) string {
	c.t.Helper()
	key := release.RegisterKey(service)
	values, err := c.running[1].readPrefix(c.t.Context(), key)
	if err != nil {
		c.t.Fatal(err)
	}
	current, _ := release.Read(values[key])
	return current.Target
}

// Guards against a release that replaces a later one: its caller had no answer and has ordered another release elsewhere.
func TestLateReleaseBegin(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	late := cluster.holdOrder(0, "releases.begin", releaseBody("v2"))
	cluster.mustCall(1, "releases.begin", releaseBody("v3"))
	late.resume()
	if target := cluster.releaseTarget("s"); target != "v3" {
		t.Errorf("%s is being released, want v3", target)
	}
}

// Guards against a release that replaces a later one: it goes on at a controller after its caller has left. A copy of a
// release that was carried out elsewhere is acknowledged.
func TestOvertakenReleaseOrder(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	member := cluster.running[0]
	arrived := arrivedOrder{receivedAt: member.now()}
	order := &release.StartRequest{Service: "s", Target: "v2"}
	duration := 9 * time.Second
	cluster.mustCall(1, "releases.begin", releaseBody("v2"))
	if _, err := member.proposeRelease(t.Context(), arrived, order, duration, 0); err != nil {
		t.Errorf("a copy of an order that was carried out: %v", err)
	}
	order.Target = "v4"
	cluster.mustCall(1, "releases.begin", releaseBody("v3"))
	if _, err := member.proposeRelease(t.Context(), arrived, order, duration, 1); !errors.Is(err, errOvertakenOrder) {
		t.Errorf("an order that was overtaken: %v, want %v", err, errOvertakenOrder)
	}
	if target := cluster.releaseTarget("s"); target != "v3" {
		t.Errorf("%s is being released, want v3", target)
	}
}
