package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playSamePlace has two operators each add a route at the same moment, at two controllers. The routes have the same host
// and prefix and different names and services. Without the disruption the second operator waits for the first one's
// acknowledgement.
//
// The rule CONFIG is broken if both are acknowledged and both are in force: the configuration is then invalid, and all
// requests go to the service of one of them.
func playSamePlace(s *system) (broken bool, err error) {
	const (
		pairs = 3
		gap   = 1200 * time.Millisecond
		host  = "records.example"
	)
	if err := s.startAll(len(zones)); err != nil {
		return false, err
	}
	first, second := &operator{s: s, name: "one"}, &operator{s: s, name: "two"}
	if err := first.configure(newLimits("00000001", 16384), newService("desk", "00000001"), newService("press", "00000001"),
		newRoute("r-desk", "00000001", host, "/desk/", "risky", "5000ms", "800ms", "desk")); err != nil {
		return false, err
	}
	for _, service := range []string{"desk", "press"} {
		work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
		if _, err := s.startAppliance(service, 0, work); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // longer than inTouch
	var acknowledged [pairs][2]bool
	for pair := range pairs {
		path := fmt.Sprintf("/new%d/", pair)
		var operators sync.WaitGroup
		add := func(which int, o *operator, controller int, name, service string) {
			route := newRoute(fmt.Sprint(name, pair), "00000002", host, path, "risky", "5000ms", "800ms", service)
			status, _ := o.order(controller, "settings.change", change(route))
			acknowledged[pair][which] = status == http.StatusOK
		}
		operators.Go(func() { add(0, first, 1, "r-a", "desk") })
		if !trouble() {
			operators.Wait()
		}
		operators.Go(func() { add(1, second, 4, "r-b", "press") })
		operators.Wait()
		time.Sleep(gap)
	}
	time.Sleep(3500 * time.Millisecond) // longer than apply
	items, err := first.read()
	if err != nil {
		return false, err
	}
	inForce := map[string][]string{}
	for _, item := range items {
		if item.Type == "routes" {
			place := fmt.Sprint(item.Body["host"], item.Body["pathStart"])
			inForce[place] = append(inForce[place], fmt.Sprintf("%v to %v", item.Metadata["name"], item.Body["service"]))
		}
	}
	for pair := range pairs {
		path := fmt.Sprintf("/new%d/", pair)
		for proxy := range zones {
			for range 3 {
				s.request(s.front(proxy), http.MethodPost, host, path+"1", newTryID(), 5*time.Second)
			}
		}
		s.note("%s%s: acknowledged %v, in force: %v", host, path, acknowledged[pair], inForce[host+path])
		if acknowledged[pair][0] && acknowledged[pair][1] && len(inForce[host+path]) > 1 {
			broken = true
		}
	}
	return broken, nil
}
