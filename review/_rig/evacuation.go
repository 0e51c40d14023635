package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// playEvacuation evacuates a zone and takes it back. The acknowledgement of the evacuation is lost on its way, so that the
// operator sends the same order to the next controller. Later the operator adds a route to a service whose appliances are
// in that zone.
//
// The rule CONFIG is broken if, in a calm time, 20 or more requests on the route that was added later are served less
// than a quarter as often as those on the first route.
func playEvacuation(s *system) (broken bool, err error) {
	const (
		host     = "records.example"
		zone     = 5
		requests = 40 // on each route
	)
	if err := s.startAll(len(zones)); err != nil {
		return false, err
	}
	o := &operator{s: s, name: "one"}
	if err := o.configure(newLimits("00000001", 16384), newService("desk", "00000001"), newService("press", "00000001"),
		newRoute("r-desk", "00000001", host, "/desk/", "harmless", "5000ms", "800ms", "desk")); err != nil {
		return false, err
	}
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	for _, placed := range []struct {
		service string
		zone    int
	}{{"desk", 0}, {"desk", 1}, {"press", zone}, {"press", zone}, {"press", zone}} {
		if _, err := s.startAppliance(placed.service, placed.zone, work); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // longer than inTouch
	if trouble() {
		via, err := s.startRelay(s.control(0))
		if err != nil {
			return false, err
		}
		o.via = map[string]string{s.control(0): via}
	}
	if status, _ := o.order(0, "clear_out.begin&of="+zones[zone], nil); status != http.StatusOK {
		return false, fmt.Errorf("the evacuation is answered with %d", status)
	}
	o.via = nil
	time.Sleep(8 * time.Second)
	if status, _ := o.order(2, "clear_out.finish&of="+zones[zone], nil); status != http.StatusOK {
		return false, fmt.Errorf("taking the zone back is answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	added := newRoute("r-press", "00000002", host, "/press/", "harmless", "5000ms", "800ms", "press")
	if status, _ := o.order(3, "settings.change", change(added)); status != http.StatusOK {
		return false, fmt.Errorf("the new route is answered with %d", status)
	}
	time.Sleep(6 * time.Second) // longer than apply and than inTouch
	served := map[string]int{}
	for i := range requests {
		for _, path := range []string{"/desk/1", "/press/1"} {
			received := s.request(s.front(i%len(zones)), http.MethodGet, host, path, newTryID(), 5*time.Second)
			if received.status == http.StatusOK && received.seal != "" {
				served[path]++
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	s.note("of %d requests each, served on the first route: %d, on the route added later: %d", requests, served["/desk/1"],
		served["/press/1"])
	return 4*served["/press/1"] < served["/desk/1"], nil
}

// startRelay starts a relay to a controller that passes requests on and drops all answers. It returns its address.
func (s *system) startRelay(controller string) (address string, err error) {
	listener, err := net.Listen("tcp4", s.subnet+"201:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.dropAnswers(conn, controller)
		}
	}()
	return listener.Addr().String(), nil
}

func (s *system) dropAnswers(caller net.Conn, controller string) {
	defer caller.Close()
	callee, err := net.Dial("tcp4", controller)
	if err != nil {
		return
	}
	defer callee.Close()
	go func() {
		buffer := make([]byte, 4096)
		for {
			count, err := callee.Read(buffer)
			if err != nil {
				return
			}
			s.note("lost on its way from %s: %.40q", controller, buffer[:count])
		}
	}()
	_, _ = io.Copy(callee, caller) // until the caller closes its connection
}
