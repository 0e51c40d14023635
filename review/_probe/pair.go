package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// pair: two operators send at the same time, to two agents. Each adds a route; the two routes share host and prefix. A
// configuration with both is invalid, so at most one of the calls may be acknowledged. With TROUBLE=0 one operator waits
// for the answer of the other.
func pair(s *system) (int, error) {
	first := put(service("huvo11a", 1), service("wuno96b", 1), route("r-base", 1, "/base/", "harmless", "huvo11a"), limits(1, 16384))
	if status, answer := s.insist(0, "settings.change", "", first, 15*time.Second); status != 200 {
		return notRun, fmt.Errorf("first configuration: %d %s", status, answer)
	}
	for i := range s.machines {
		for _, name := range []string{"huvo11a", "wuno96b"} {
			b, err := startBackend(s, fmt.Sprintf("i-%s-%d", name, i), name, i, 3, 20*time.Millisecond)
			if err != nil {
				return notRun, err
			}
			defer b.stop()
		}
	}
	if !s.waitServed("/base/x", 15*time.Second) {
		return notRun, fmt.Errorf("the system does not serve")
	}
	code, looked := held, 0
	for n := range 8 {
		path := fmt.Sprintf("/p%d/", n)
		calls := [2]string{
			put(route(fmt.Sprintf("r-left-%d", n), 2, path, "risky", "huvo11a")),
			put(route(fmt.Sprintf("r-right-%d", n), 2, path, "risky", "wuno96b")),
		}
		var statuses [2]int
		var operators sync.WaitGroup
		send := func(i int) {
			status, answer := s.insist(i, "settings.change", "", calls[i], 6*time.Second)
			statuses[i] = status
			note("pair %d: operator %d, at agent %s: %s -> %d %s", n, i, s.machines[i].name, calls[i], status, answer)
		}
		if trouble {
			for i := range calls {
				operators.Go(func() { send(i) })
			}
			operators.Wait()
		} else {
			send(0)
			send(1)
		}
		if statuses[0] == 200 && statuses[1] == 200 {
			note("pair %d: BROKEN: both calls were acknowledged, and together they are invalid: two routes share host and prefix", n)
			code = broken
			if looked++; looked <= 2 {
				s.lookAt(n, path)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return code, nil
}

// lookAt shows what became of a pair of which both were acknowledged: what is read back, and who runs its requests more than
// apply later.
func (s *system) lookAt(n int, path string) {
	time.Sleep(3500 * time.Millisecond)
	status, answer := s.insist(2, "settings.read", "", "", 6*time.Second)
	var list struct {
		Items []struct {
			Metadata struct{ Name string }
			Body     struct{ PathStart, Service string }
		}
	}
	_ = json.Unmarshal([]byte(answer), &list)
	for _, read := range list.Items {
		if read.Body.PathStart == path {
			note("pair %d: settings.read (%d) has route %s: %s to %s", n, status, read.Metadata.Name, path, read.Body.Service)
		}
	}
	for i := range s.machines {
		id := newID()
		status, body := get(s.front(i), path+"x", id, nil)
		note("pair %d: request %s %sx at %s, sent 3.5 s after the acknowledgements -> %d %q", n, id, path, s.machines[i].name, status, body)
	}
}
