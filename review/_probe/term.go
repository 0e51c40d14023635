package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// term: the platform stops a proxy with SIGTERM while it has requests at an appliance that is at work on them. The appliance
// ends its work before the last sixth of leeway begins. With TROUBLE=0 nothing is stopped.
func term(s *system) (int, error) {
	const (
		grace = 10 * time.Second
		work  = 7800 * time.Millisecond
		lead  = 100 * time.Millisecond // the requests are sent that long before SIGTERM
	)
	first := put(service("huvo11a", 1), service("wuno96b", 1), route("r-base", 1, "/base/", "harmless", "wuno96b"),
		routeFor("r-long", 1, "/long/", "risky", "huvo11a", "12s", "12s"), limits(1, 16384))
	if status, answer := s.insist(0, "settings.change", "", first, 15*time.Second); status != 200 {
		return notRun, fmt.Errorf("first configuration: %d %s", status, answer)
	}
	for i := range s.machines {
		long, err := startBackend(s, fmt.Sprintf("i-huvo11a-%d", i), "huvo11a", i, 3, work)
		if err != nil {
			return notRun, err
		}
		defer long.stop()
		short, err := startBackend(s, fmt.Sprintf("i-wuno96b-%d", i), "wuno96b", i, 3, 20*time.Millisecond)
		if err != nil {
			return notRun, err
		}
		defer short.stop()
	}
	if !s.waitServed("/base/x", 15*time.Second) {
		return notRun, fmt.Errorf("the system does not serve")
	}
	time.Sleep(6 * time.Second) // longer than inTouch
	stopping := s.machines[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	var stopped time.Time
	lost := 0
	for range 3 {
		clients.Go(func() {
			id := newID()
			sent := time.Now()
			note("client: request %s /long/x sent to %s", id, stopping.name)
			status, body := getWithin(s.front(0), "/long/x", id, nil, 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			note("client: request %s answered after %.2f s: %d %q", id, time.Since(sent).Seconds(), status, body)
			if status == 200 || stopped.IsZero() {
				return
			}
			worked := sent.Add(work).Sub(stopped)
			note("BROKEN: request %s: its appliance would have ended its work %.2f s after SIGTERM; the last sixth of leeway begins at %.2f s",
				id, worked.Seconds(), (grace * 5 / 6).Seconds())
			lost++
		})
	}
	time.Sleep(lead)
	proxy := stopping.processes["relay"]
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		_ = proxy.cmd.Process.Signal(syscall.SIGTERM)
		note("SIGTERM to the proxy of %s", stopping.name)
		kill := time.AfterFunc(grace, func() { _ = proxy.cmd.Process.Signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	clients.Wait()
	if trouble {
		<-proxy.done
		note("the proxy of %s has ended %.2f s after SIGTERM", stopping.name, time.Since(stopped).Seconds())
		if err := s.start(stopping, "relay", false); err != nil {
			return notRun, err
		}
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
