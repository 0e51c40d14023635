package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// gone: an appliance signs off, without having said emptying, and is acknowledged. At the same instant every process of the
// core is killed, and comes back within a second with its disk. The appliance serves on for many seconds. With TROUBLE=0
// nothing is killed.
func gone(s *system) (int, error) {
	const (
		empty   = 3 * time.Second
		inTouch = 5 * time.Second
	)
	first := put(service("huvo11a", 1), route("r-base", 1, "/base/", "harmless", "huvo11a"), limits(1, 16384))
	if status, answer := s.insist(0, "settings.change", "", first, 15*time.Second); status != 200 {
		return notRun, fmt.Errorf("first configuration: %d %s", status, answer)
	}
	var all []*backend
	for i := range s.machines {
		for n := range 2 {
			b, err := startBackend(s, fmt.Sprintf("i-huvo11a-%d%d", i, n), "huvo11a", i, 3, 120*time.Millisecond)
			if err != nil {
				return notRun, err
			}
			defer b.stop()
			all = append(all, b)
		}
	}
	if !s.waitServed("/base/x", 15*time.Second) {
		return notRun, fmt.Errorf("the system does not serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer func() { close(stop); clients.Wait() }()
	for i := range s.machines {
		for range 14 {
			clients.Go(func() { s.client(i, stop) })
		}
	}
	time.Sleep(inTouch + 2*time.Second + time.Duration(rand.IntN(250))*time.Millisecond)
	leaving := all[0]
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	time.Sleep(1100 * time.Millisecond) // less than a pulse: a beat under way has ended
	status, answer := s.call(0, "servers.sign_off", leaving.id, "")
	acked := time.Now()
	if status/100 != 2 {
		return notRun, fmt.Errorf("sign_off: %d %s", status, answer)
	}
	restarted := acked
	if trouble {
		for _, m := range s.machines {
			for _, p := range m.processes {
				_ = p.cmd.Process.Kill()
			}
		}
		note("server %s: sign_off acknowledged (%d) by %s; every process of the core is killed", leaving.id, status, s.machines[0].name)
		for _, m := range s.machines {
			for _, p := range m.processes {
				<-p.done
			}
		}
		time.Sleep(500 * time.Millisecond)
		for _, role := range []string{"steward", "relay"} {
			for _, m := range s.machines {
				if err := s.start(m, role, false); err != nil {
					return notRun, err
				}
			}
		}
		restarted = time.Now()
		note("every process of the core is started again, with its disk")
	} else {
		note("server %s: sign_off acknowledged (%d) by %s", leaving.id, status, s.machines[0].name)
	}
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	leaving.stop()
	after, late := 0, 0
	leaving.mu.Lock()
	for _, r := range leaving.runs {
		if r.at.After(acked.Add(empty)) {
			after++
		}
		if r.at.After(acked.Add(empty)) && r.at.After(restarted.Add(inTouch+500*time.Millisecond)) {
			late++
			note("BROKEN: server %s ran request %s %.2f s after its sign_off was acknowledged, %.2f s after the last start of a process",
				leaving.id, r.tryID, r.at.Sub(acked).Seconds(), r.at.Sub(restarted).Seconds())
		}
	}
	leaving.mu.Unlock()
	note("requests at %s later than empty (3 s) after the acknowledgement: %d, of which from machines in touch: %d", leaving.id, after, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// client sends one request after the other.
func (s *system) client(i int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		status, _ := get(s.front(i), "/base/x", id, nil)
		if status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
