package steward

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sagelever/plan"
)

// Eight orders at once, each of hundreds of items, and then one change after the other: all are confirmed, all stand. With
// ORDERS_DAY a day of so many changes is played and measured.
func TestManyOrders(t *testing.T) {
	t.Parallel()
	day, _ := strconv.Atoi(os.Getenv("ORDERS_DAY"))
	h := newHouse(t)
	h.startAll()
	const operators, each = 8, 300
	items := []string{}
	for i := range 400 {
		items = append(items, route(fmt.Sprint("r", i), "00000001", fmt.Sprint("p", i), "s0"))
	}
	for i := range 8 {
		items = append(items, service(fmt.Sprint("s", i), "00000001", "h"))
	}
	begun := time.Now()
	h.must(0, "settings.change", put(items...))
	t.Logf("the first call, %d items: %v", len(items), time.Since(begun))
	begun = time.Now()
	var wg sync.WaitGroup
	for o := range operators {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var items []string
			for i := range each {
				if i%2 == 0 {
					items = append(items, tenant(fmt.Sprint("t", o, "-", i), "00000001", "a"))
				} else {
					items = append(items, route(fmt.Sprint("q", o, "-", i), "00000001", fmt.Sprint("q", o, "-", i), fmt.Sprint("s", i%8)))
				}
			}
			h.must(o%members, "settings.change", put(items...))
		}()
	}
	wg.Wait()
	t.Logf("%d orders of %d items at once: %v", operators, each, time.Since(begun))
	changes := max(day, 60)
	for kind, to := range []string{"to another service", "of a time"} {
		begun = time.Now()
		for i := range changes / 2 {
			version := plan.FormatVersion(uint64(2 + kind*changes/2 + i))
			name, service := fmt.Sprint("r", i%200+200*kind), "s0"
			if kind == 0 {
				service = fmt.Sprint("s", 1+i%7)
			}
			body := put(route(name, version, "p"+name[1:], service))
			h.must(i%members, "settings.change", strings.Replace(body, "5s", fmt.Sprint(i+1, "ms"), 1))
		}
		t.Logf("%d changes %s, one after the other: %v each", changes/2, to, time.Since(begun)/time.Duration(changes/2))
	}
	text := h.must(1, "settings.read", "")
	if n := strings.Count(text, `"metadata"`); n != len(items)+operators*each {
		t.Errorf("%d items stand", n)
	}
	if last := plan.FormatVersion(uint64(changes/2*2 + 1)); !strings.Contains(text, last) {
		t.Errorf("the last change is not there")
	}
}
