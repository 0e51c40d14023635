package server

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Guards against two routes with one host and path prefix that are both acknowledged, as they were added at one moment at two
// controllers (review/7), and against a route that is acknowledged together with the removal of its service.
func TestChangesThatAreInvalidTogether(t *testing.T) {
	t.Parallel()
	const pairs = 30
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", putItems(serviceItem("kept", "00000001", "h")))
	confirmed := func(body [2]string) (count int) {
		var statuses [2]int
		var operators sync.WaitGroup
		for i := range body {
			operators.Go(func() { statuses[i], _ = cluster.callUntilAnswered(i, "settings.change", body[i]) })
		}
		operators.Wait()
		for _, status := range statuses {
			if status == http.StatusOK {
				count++
			}
		}
		return count
	}
	for i := range pairs {
		path := fmt.Sprint("place", i)
		sameplace := [2]string{
			putItems(routeItem(fmt.Sprint("a", i), "00000002", path, "kept")),
			putItems(routeItem(fmt.Sprint("b", i), "00000002", path, "kept")),
		}
		if count := confirmed(sameplace); count != 1 {
			t.Errorf("pair %d: %d of two routes in one place are confirmed", i, count)
		}
		service := fmt.Sprint("dropped", i)
		cluster.mustCall(2, "settings.change", putItems(serviceItem(service, "00000001", "h")))
		withoutService := [2]string{
			putItems(routeItem(fmt.Sprint("c", i), "00000002", fmt.Sprint("other", i), service)),
			removeItem("services", service, "00000002"),
		}
		if count := confirmed(withoutService); count != 1 {
			t.Errorf("pair %d: %d of a route and the removal of its service are confirmed", i, count)
		}
	}
	text := cluster.mustCall(2, "settings.read", "")
	for i := range pairs {
		if count := strings.Count(text, fmt.Sprintf(`"/place%d/"`, i)); count != 1 {
			t.Errorf("%d routes are in force in place %d", count, i)
		}
	}
}
