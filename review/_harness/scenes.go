package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clientHost   = "ficu95.example"
	settleTime   = 3 * time.Second // from the start of the machines to the first configuration
	confirm      = 6 * time.Second
	orderTimeout = confirm
)

// begin starts the machines and sends the first configuration.
func (f *fleet) begin(items ...item) error {
	if err := f.startAll(true); err != nil {
		return err
	}
	time.Sleep(settleTime)
	status, _ := f.order("operator", "call=settings.change", change(items...), []int{0, 1, 2, 3, 4, 5}, 20*time.Second)
	if status != 200 {
		return fmt.Errorf("%w: the first configuration got %d", errNotRun, status)
	}
	f.rec.say("the first configuration is acknowledged")
	return nil
}

// appliancesEverywhere starts appliances of a service in every zone.
func (f *fleet) appliancesEverywhere(service string, perZone, firstNumber int, work time.Duration) ([]*appliance, error) {
	var all []*appliance
	for i, zone := range zones {
		for j := range perZone {
			a, err := f.startAppliance(firstNumber+i*perZone+j, service, zone, work)
			if err != nil {
				return nil, err
			}
			all = append(all, a)
		}
	}
	return all, nil
}

// lateOrder: a zone is evacuated, taken back and evacuated again. The machine to which the operator sends clear_out.finish
// stands still while the order waits there; the operator sends the order again to another machine, which acknowledges it.
// The second evacuation must last until it is taken back.
func lateOrder(f *fleet, trouble bool) (broken bool, err error) {
	const zone, frozen, other, third = "new-town-b", 1, 2, 4
	if err := f.begin(service("huvo11a", 7), limits(7), route("r-1", 7, clientHost, "/lohu930/", "harmless", "huvo11a")); err != nil {
		return false, err
	}
	appliances, err := f.appliancesEverywhere("huvo11a", 2, 0, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	load := f.newTraffic()
	defer load.end()
	time.Sleep(2 * time.Second)
	for _, name := range zones {
		load.runClients(4, clientHost, "GET", "/lohu930/2f", name, 300*time.Millisecond)
	}
	time.Sleep(inTouch)

	begin, finish := "call=clear_out.begin&of="+zone, "call=clear_out.finish&of="+zone
	if status, _ := f.order("operator", begin, nil, []int{other, third}, orderTimeout); status != 200 {
		return false, fmt.Errorf("%w: the first evacuation got %d", errNotRun, status)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.rec.say("SIGSTOP to the machine in %s", zones[frozen])
		f.signal(frozen, syscall.SIGSTOP)
	}
	stoppedAt := time.Now()
	if status, _ := f.order("operator", finish, nil, []int{frozen, other, third}, orderTimeout); status != 200 {
		return false, fmt.Errorf("%w: taking the zone back got %d", errNotRun, status)
	}
	f.rec.say("clear_out.finish is acknowledged")
	time.Sleep(100 * time.Millisecond)
	if status, _ := f.order("operator", begin, nil, []int{third, other}, orderTimeout); status != 200 {
		return false, fmt.Errorf("%w: the second evacuation got %d", errNotRun, status)
	}
	acknowledgedAt := time.Now()
	f.rec.say("the second clear_out.begin is acknowledged")
	time.Sleep(time.Until(stoppedAt.Add(2 * time.Second)))
	if trouble {
		f.rec.say("SIGCONT to the machine in %s", zones[frozen])
		f.signal(frozen, syscall.SIGCONT)
	}
	// All bounds of the rule, one after the other: the machines are in touch again, and an unsettled core extends the bound.
	bound := time.Now().Add(inTouch + clearOut + stretch)
	f.rec.say("the zone must get nothing later than %.3f s", bound.Sub(f.rec.started).Seconds())
	time.Sleep(time.Until(bound.Add(6 * time.Second)))
	watchedUntil := time.Now()
	load.end()

	late, soon := 0, 0
	for _, a := range appliances {
		if a.zone != zone {
			continue
		}
		soon += len(a.since(acknowledgedAt.Add(clearOut)))
		for _, arrival := range a.since(bound) {
			got, known := load.sentBy(arrival.tryID)
			if known && !strings.HasPrefix(got.proxy, f.ip(frozen)+":") {
				late++
			}
		}
	}
	sent, served := load.count(bound, watchedUntil)
	f.rec.say("after the bound: %d requests sent, %d served, %d of them arrived in the evacuated zone by way of machines in touch",
		sent, served, late)
	f.rec.say("arrivals in the zone later than clearOut after the acknowledgement: %d", soon)
	if sent < 50 || served < sent/2 {
		return false, fmt.Errorf("%w: too little traffic was served", errNotRun)
	}
	return late > 0, nil
}

// Figures of refusedPart: as many pairs of calls race at a time as may be under way (eight orders), each on a route of its
// own. They come in bursts, because the controllers hand all changes to one of them for a while after a contention.
const (
	raceGroups   = 4
	raceBurst    = 4 // pairs of each group, one after the other
	raceInterval = 2700 * time.Millisecond
	raceTime     = 70 * time.Second
	firstVersion = 7
)

// raceOffsets are the longest times between the two calls of a pair.
var raceOffsets = []time.Duration{time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond}

// race is the state of the calls of refusedPart.
type race struct {
	fleet *fleet
	mu    sync.Mutex
	// refused holds the routes that a refused call would have added, with the number of calls that it took to get the
	// refusal.
	refused      map[string]int
	acknowledged map[string]bool
	unclear      int
}

// refusedPart: two operators change a route at the same time under one version, at two machines; each call also adds a
// new route of its own. One of them has to be refused, and then nothing of it may come into force.
func refusedPart(f *fleet, trouble bool) (broken bool, err error) {
	first := []item{service("huvo11a", firstVersion), limits(firstVersion),
		route("r-1", firstVersion, clientHost, "/lohu930/", "harmless", "huvo11a")}
	for group := range raceGroups {
		first = append(first, route(sharedRoute(group), firstVersion, clientHost, fmt.Sprintf("/shared%d/", group), "harmless", "huvo11a"))
	}
	if err := f.begin(first...); err != nil {
		return false, err
	}
	if _, err := f.appliancesEverywhere("huvo11a", 1, 0, 20*time.Millisecond); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	r := &race{fleet: f, refused: map[string]int{}, acknowledged: map[string]bool{}}
	started := time.Now()
	var groups sync.WaitGroup
	for group := range raceGroups {
		groups.Go(func() {
			for pair := 0; time.Since(started) < raceTime; pair++ {
				time.Sleep(time.Until(started.Add(time.Duration(pair/raceBurst) * raceInterval)))
				r.play(group, pair, trouble)
			}
		})
	}
	groups.Wait()
	f.rec.say("%d calls were acknowledged, %d refused, %d got no clear answer", len(r.acknowledged), len(r.refused), r.unclear)
	time.Sleep(apply + stretch)
	return r.judge()
}

func sharedRoute(group int) string { return fmt.Sprintf("r-shared-%d", group) }

func addedRoute(group, pair, operator int) string {
	return fmt.Sprintf("r-new-%d-%d-%d", group, pair, operator)
}

func addedPath(name string) string { return "/" + name + "/" }

// play plays one pair: both calls at the same time or, without the disruption, one after the other.
func (r *race) play(group, pair int, trouble bool) {
	machines := rand.Perm(len(zones))
	number := firstVersion + 1 + pair
	call := func(operator int) {
		shared := route(sharedRoute(group), number, clientHost, fmt.Sprintf("/shared%d/", group), "harmless", "huvo11a")
		shared.Body["giveUp"] = fmt.Sprintf("%dms", 1500+operator)
		name := addedRoute(group, pair, operator)
		body := change(shared, route(name, number, clientHost, addedPath(name), "harmless", "huvo11a"))
		r.send(fmt.Sprintf("operator %d.%d", group, operator), name, body, machines[operator:])
	}
	if !trouble {
		call(0)
		call(1)
		return
	}
	var both sync.WaitGroup
	for operator := range 2 {
		both.Go(func() {
			time.Sleep(rand.N(raceOffsets[rand.IntN(len(raceOffsets))]))
			call(operator)
		})
	}
	both.Wait()
}

// send makes a call as operators do and notes its result.
func (r *race) send(who, name string, body []byte, machines []int) {
	until := time.Now().Add(confirm)
	for calls := 1; time.Now().Before(until); calls++ {
		status, _ := r.fleet.call(who, machines[(calls-1)%len(machines)], "call=settings.change", body)
		switch {
		case status == 200:
			r.mu.Lock()
			r.acknowledged[name] = true
			r.mu.Unlock()
			return
		case status >= 400 && status < 500 && status != 408 && status != 429:
			r.mu.Lock()
			r.refused[name] = calls
			r.mu.Unlock()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.mu.Lock()
	r.unclear++
	r.mu.Unlock()
}

// judge reads the configuration back and sends requests on the routes of refused calls that it lists.
func (r *race) judge() (broken bool, err error) {
	f := r.fleet
	_, data := f.order("operator", "call=settings.read", nil, []int{3, 4, 5}, orderTimeout)
	list := struct{ Items []item }{}
	if err := json.Unmarshal(data, &list); err != nil {
		return false, fmt.Errorf("%w: settings.read: %v", errNotRun, err)
	}
	inForce := map[string]bool{}
	for _, read := range list.Items {
		if read.Type == "routes" {
			inForce[fmt.Sprint(read.Metadata["name"])] = true
		}
	}
	load := f.newTraffic()
	defer load.end()
	found := 0
	for name, calls := range r.refused {
		if !inForce[name] {
			continue
		}
		found++
		ran := 0
		for machine := range zones {
			if load.send(f.address(machine, "front"), clientHost, "GET", addedPath(name)+"2f").status == 200 {
				ran++
			}
		}
		f.rec.say("%s: its call was refused (answer to call %d), but settings.read lists it, and %d of %d machines pass requests on it",
			name, calls, ran, len(zones))
	}
	lost := 0
	for name := range r.acknowledged {
		if !inForce[name] {
			lost++
		}
	}
	f.rec.say("%d of %d refused calls have a part in force; %d acknowledged routes are missing", found, len(r.refused), lost)
	if len(r.refused) < raceGroups || len(r.acknowledged) < raceGroups {
		return false, fmt.Errorf("%w: too few calls had a clear answer", errNotRun)
	}
	return found > 0 || lost > 0, nil
}
