package server

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sagelever/internal/control/config"
)

// If several operators put different contents under one version through different members at the same time, only one is
// confirmed. The others get a conflict that names the item and its version. All members serve the confirmed content.
func TestConcurrentChangesOfOneVersion(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	var operators sync.WaitGroup
	confirmed := make([]bool, memberCount)
	for i := range memberCount {
		operators.Go(func() {
			body := changeBody("00000009", fmt.Sprint("by", i, ".example"))
			status, text := cluster.callUntilAnswered(i, "settings.change", body)
			confirmed[i] = status == http.StatusOK
			conflict := status == http.StatusConflict &&
				strings.Contains(text, "routes r") && strings.Contains(text, "00000009")
			if !confirmed[i] && !conflict {
				t.Errorf("member %d: %d %s", i, status, text)
			}
			cluster.mustCall(i, "releases.begin&of=x", releaseBody(fmt.Sprint("v", i)))
		})
	}
	operators.Wait()
	texts := map[string]bool{}
	phases := map[string]bool{}
	for i := range memberCount {
		texts[cluster.mustCall(i, "settings.read", "")] = true
		phases[cluster.mustCall(i, "releases.read&of=s", "")] = true
	}
	if len(texts) != 1 || len(phases) != 1 {
		t.Errorf("the members disagree: %v %v", texts, phases)
	}
	winners := 0
	for i := range memberCount {
		if !confirmed[i] {
			continue
		}
		winners++
		for text := range texts {
			if !strings.Contains(text, fmt.Sprint("by", i, ".example")) {
				t.Errorf("member %d confirmed a different content: %s", i, text)
			}
		}
	}
	if winners != 1 {
		t.Errorf("%d contents were confirmed under one version", winners)
	}
}

// Of two contents under one version only the first is confirmed, through any member, also when there is a newer version
// and after a restart of all members. If one item of a change is rejected, none of its items is committed.
func TestVersionContentIsImmutable(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	first := putItems(serviceItem("s", "00000007", "h"))
	other := putItems(serviceItem("s", "00000007", "other"))
	cluster.wantStatus(0, http.StatusOK, "settings.change", first)
	cluster.wantStatus(1, http.StatusConflict, "settings.change", other)
	cluster.wantStatus(2, http.StatusConflict, "settings.change", removeItem("services", "s", "00000007"))
	partlyOther := putItems(serviceItem("z", "00000007", "h"), serviceItem("s", "00000007", "other"))
	cluster.wantStatus(2, http.StatusConflict, "settings.change", partlyOther)
	text := cluster.mustCall(1, "settings.read", "")
	if strings.Contains(text, `"z"`) || strings.Contains(text, "other") {
		t.Errorf("a part of a rejected change was committed: %s", text)
	}
	superseded := putItems(serviceItem("s", "00000008", "passed by"))
	cluster.wantStatus(1, http.StatusOK, "settings.change", putItems(serviceItem("s", "00000009", "later")))
	cluster.wantStatus(2, http.StatusOK, "settings.change", superseded)
	cluster.stopAll()
	cluster.restartAll()
	firstReformatted := strings.Replace(first, `{"checkPath":`, "{ \"checkPath\" :\n", 1)
	for i := range memberCount {
		cluster.awaitReady(i)
		cluster.wantStatus(i, http.StatusConflict, "settings.change", other)
		cluster.wantStatus(i, http.StatusConflict, "settings.change", putItems(serviceItem("s", "00000008", "other")))
		cluster.wantStatus(i, http.StatusOK, "settings.change", superseded)
		cluster.wantStatus(i, http.StatusOK, "settings.change", firstReformatted)
	}
	if text := cluster.mustCall(0, "settings.read", ""); !strings.Contains(text, "later") {
		t.Errorf("the highest version is not in force: %s", text)
	}
}

// An accepted change is confirmed again through any member, regardless of later changes: in this test the service of a
// route was removed, and the path of the route was given to another route. A change that refers to a service that never
// existed is rejected, also under a version below the current one.
func TestAcceptedChangeIsIdempotent(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	services := putItems(serviceItem("s", "00000001", "h"), serviceItem("z", "00000001", "h"))
	cluster.wantStatus(0, http.StatusOK, "settings.change", services)
	accepted := []string{
		putItems(routeItem("r", "00000002", "x", "s")),
		putItems(routeItem("r", "00000004", "y", "z")),
		removeItem("services", "s", "00000005"),
		putItems(routeItem("q", "00000006", "x", "z")),
		removeItem("routes", "q", "00000007"),
	}
	for i, body := range accepted {
		cluster.wantStatus(i%memberCount, http.StatusOK, "settings.change", body)
	}
	before := cluster.mustCall(0, "settings.read", "")
	var rejected []string
	for _, version := range []string{"00000001", "00000003", "00000009"} {
		rejected = append(rejected, putItems(routeItem("r", version, "w", "never")))
	}
	rejected = append(rejected,
		putItems(routeItem("r", "00000003", "w", "s")), // never accepted, and service s is removed
		putItems(routeItem("r", "00000009", "y", "s")), // the current path of r
		putItems(routeItem("r", "00000009", "y", "never")))
	for i := range memberCount {
		for _, body := range accepted {
			cluster.wantStatus(i, http.StatusOK, "settings.change", body)
		}
		for _, body := range rejected {
			cluster.wantStatus(i, http.StatusBadRequest, "settings.change", body)
		}
	}
	if after := cluster.mustCall(1, "settings.read", ""); after != before {
		t.Errorf("the configuration has changed: %s", after)
	}
}

// Eight concurrent changes of hundreds of items each, and then single changes in sequence, are all confirmed and
// committed. ORDERS_DAY sets the number of single changes, to measure the changes of a whole day.
func TestManyConcurrentChanges(t *testing.T) {
	t.Parallel()
	const (
		operators        = 8
		itemsPerOperator = 300
		routes           = 400
		services         = 8
	)
	day, _ := strconv.Atoi(os.Getenv("ORDERS_DAY")) // 0 if not set
	changes := max(day, 60)
	cluster := newStartedCluster(t)
	items := make([]string, 0, routes+services)
	for i := range routes {
		items = append(items, routeItem(fmt.Sprint("r", i), "00000001", fmt.Sprint("p", i), "s0"))
	}
	for i := range services {
		items = append(items, serviceItem(fmt.Sprint("s", i), "00000001", "h"))
	}
	started := time.Now()
	cluster.mustCall(0, "settings.change", putItems(items...))
	t.Logf("first change, %d items: %v", len(items), time.Since(started))

	started = time.Now()
	var concurrentChanges sync.WaitGroup
	for operator := range operators {
		concurrentChanges.Go(func() {
			body := putItems(operatorItems(operator, itemsPerOperator)...)
			cluster.mustCall(operator%memberCount, "settings.change", body)
		})
	}
	concurrentChanges.Wait()
	t.Logf("%d concurrent changes of %d items: %v", operators, itemsPerOperator, time.Since(started))

	changeRoutes(t, cluster, "of the service", changes/2, func(i int) string {
		version := config.FormatVersion(uint64(2 + i))
		return routeItem(fmt.Sprint("r", i%200), version, fmt.Sprint("p", i%200), fmt.Sprint("s", 1+i%7))
	})
	changeRoutes(t, cluster, "of the timeout", changes/2, func(i int) string {
		version := config.FormatVersion(uint64(2 + changes/2 + i))
		return routeItem(fmt.Sprint("r", 200+i%200), version, fmt.Sprint("p", 200+i%200), "s0")
	})

	text := cluster.mustCall(1, "settings.read", "")
	if n := strings.Count(text, `"metadata"`); n != len(items)+operators*itemsPerOperator {
		t.Errorf("%d items are in force", n)
	}
	if last := config.FormatVersion(uint64(changes/2*2 + 1)); !strings.Contains(text, last) {
		t.Errorf("the last change is not in force")
	}
}

// operatorItems returns tenants and routes with names that no other operator uses.
func operatorItems(operator, count int) []string {
	items := make([]string, 0, count)
	for i := range count {
		if i%2 == 0 {
			items = append(items, tenantItem(fmt.Sprint("t", operator, "-", i), "00000001", "a"))
			continue
		}
		name := fmt.Sprint("q", operator, "-", i)
		items = append(items, routeItem(name, "00000001", name, fmt.Sprint("s", i%8)))
	}
	return items
}

// changeRoutes changes one route after another, each with a different timeout, and logs the mean duration.
func changeRoutes(t *testing.T, cluster *testCluster, kind string, count int, route func(i int) string) {
	t.Helper()
	started := time.Now()
	for i := range count {
		body := strings.Replace(putItems(route(i)), "5s", fmt.Sprint(i+1, "ms"), 1)
		cluster.mustCall(i%memberCount, "settings.change", body)
	}
	t.Logf("%d sequential changes %s: %v each", count, kind, time.Since(started)/time.Duration(count))
}
