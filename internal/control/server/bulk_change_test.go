package server

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sagelever/internal/control/config"
)

// Eight orders at once, each of hundreds of items, and then one change after the other: all are confirmed, all stand. With
// ORDERS_DAY a day of so many changes is played and measured.
func TestManyConcurrentChanges(t *testing.T) {
	t.Parallel()
	changeCount, _ := strconv.Atoi(os.Getenv("ORDERS_DAY"))
	cluster := newTestCluster(t)
	cluster.startAll()
	const operators, each = 8, 300
	items := []string{}
	for i := range 400 {
		items = append(items, routeItem(fmt.Sprint("r", i), "00000001", fmt.Sprint("p", i), "s0"))
	}
	for i := range 8 {
		items = append(items, serviceItem(fmt.Sprint("s", i), "00000001", "h"))
	}
	started := time.Now()
	cluster.mustCall(0, "settings.change", putItems(items...))
	t.Logf("the first call, %d items: %v", len(items), time.Since(started))
	started = time.Now()
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var items []string
			for i := range each {
				if i%2 == 0 {
					items = append(items, tenantItem(fmt.Sprint("t", operator, "-", i), "00000001", "a"))
				} else {
					items = append(items, routeItem(fmt.Sprint("q", operator, "-", i), "00000001", fmt.Sprint("q", operator, "-", i), fmt.Sprint("s", i%8)))
				}
			}
			cluster.mustCall(operator%memberCount, "settings.change", putItems(items...))
		}()
	}
	wg.Wait()
	t.Logf("%d orders of %d items at once: %v", operators, each, time.Since(started))
	changes := max(changeCount, 60)
	for kind, to := range []string{"to another service", "of a time"} {
		started = time.Now()
		for i := range changes / 2 {
			version := config.FormatVersion(uint64(2 + kind*changes/2 + i))
			name, service := fmt.Sprint("r", i%200+200*kind), "s0"
			if kind == 0 {
				service = fmt.Sprint("s", 1+i%7)
			}
			body := putItems(routeItem(name, version, "p"+name[1:], service))
			cluster.mustCall(i%memberCount, "settings.change", strings.Replace(body, "5s", fmt.Sprint(i+1, "ms"), 1))
		}
		t.Logf("%d changes %s, one after the other: %v each", changes/2, to, time.Since(started)/time.Duration(changes/2))
	}
	text := cluster.mustCall(1, "settings.read", "")
	if n := strings.Count(text, `"metadata"`); n != len(items)+operators*each {
		t.Errorf("%d items stand", n)
	}
	if last := config.FormatVersion(uint64(changes/2*2 + 1)); !strings.Contains(text, last) {
		t.Errorf("the last change is not there")
	}
}
