package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playLeeway stops a proxy with SIGTERM while an appliance works on its requests. Nothing else is disturbed: the service's
// requests always take that long, well within the route's giveUp and the client's deadline.
//
// The rule LOST is broken if a request that the proxy had passed on ends with an answer of the proxy's own, although its
// appliance would have answered before the last sixth of leeway began, and before the client's deadline.
func playLeeway(s *system) (broken bool, err error) {
	const (
		leeway   = 10 * time.Second
		deadline = 12 * time.Second
		host     = "records.example"
		requests = capacity
		// The appliance is at work until 7.8 s after SIGTERM. The last sixth of leeway begins 8.33 s after it.
		sentAfter, work = 300 * time.Millisecond, 7500 * time.Millisecond
	)
	if err := s.startAll(len(zones)); err != nil {
		return false, err
	}
	o := &operator{s: s, name: "one"}
	if err := o.configure(newLimits("00000001", 16384), newService("press", "00000001"),
		newRoute("r-proof", "00000001", host, "/proof/", "harmless", "12000ms", "2000ms", "press")); err != nil {
		return false, err
	}
	for zone := range 3 {
		if _, err := s.startAppliance("press", zone, func(*http.Request) time.Duration { return work }); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // longer than inTouch, so that the start is no trouble
	stoppedAt := time.Now()
	if trouble() {
		s.note("SIGTERM to %s", s.proxyName(0))
		s.process(s.proxyName(0)).signal(syscall.SIGTERM)
	}
	time.Sleep(sentAfter)
	var mu sync.Mutex
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() {
			tryID := newTryID()
			received := s.request(s.front(0), http.MethodGet, host, "/proof/1", tryID, deadline)
			mu.Lock()
			defer mu.Unlock()
			if received.status == http.StatusOK && received.seal != "" {
				return
			}
			after := received.at.Sub(stoppedAt)
			s.note("not answered by the appliance: %v, %v after SIGTERM", received, after)
			if s.passedOn(tryID) && after < leeway*5/6 {
				broken = true
			}
		})
	}
	clients.Wait()
	return broken, nil
}
