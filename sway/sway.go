// Package sway holds what a relay decides on each request: which appliance gets it and when, whether it may be sent again,
// how fast a cold appliance is fed, and which build serves while a release is under way. It is pure: the time and the luck
// are handed in, and whoever calls guards it against two calls at once.
package sway

import (
	"sort"
	"time"

	"sagelever/boot"
	"sagelever/ebb"
	"sagelever/gauge"
	"sagelever/lore"
	"sagelever/plan"
	"sagelever/verdict"
)

// App is an appliance as this relay sees it.
type App struct {
	ID string
	lore.App
	Stand   ebb.Stand // whether it leaves, and what of this relay is out there
	Far     int       // 0 in this zone, 1 in this region, 2 beyond
	known   time.Time
	asked   time.Time // when it was last asked whether it serves
	version uint64
	cold    time.Time // until when it is cold
	next    time.Time // when a cold one may be sent the next request
	doubt   doubt
	took    gauge.Mean // answer times against what the route usually takes
}

// Request is one client's try.
type Request struct {
	Way      *plan.Way
	Service  string
	Arrived  time.Time
	Deadline time.Time
	Sends    int             // to appliances, so far
	Arrivals int             // of these, the ones that reached their appliance or may have
	Verdict  verdict.Verdict // over all sends; NeverRan while there is none
	To       Place           // of the send that is out
	tried    []string
	trial    bool // the send that is out goes to the build on trial
	waits    bool
	Granted  chan *App // gets the appliance when a place comes free; it has room for one
}

// Place is where a send goes. It stays as it was while news of the appliance comes in.
type Place struct {
	ID, Address string
	Far         int
}

// service is what is kept for each service.
type service struct {
	apps   []*App
	queue  []*Request
	tokens float64 // further tries that are left
	trial  *trial
	usual  gauge.Mean                 // seconds that an answer takes
	builds string                     // the build in force, as far as it is known
	loads  map[string]*gauge.Decaying // requests taken of late, by the regions in which they may be served
}

// Sway is a relay's view.
type Sway struct {
	node     string
	zone     string
	region   string
	zones    map[string]string
	bounds   boot.Bounds
	luck     func() float64
	table    *plan.Table
	apps     map[string]*App
	services map[string]*service
	agents   int // n, never below what it is
	here     int // agents in this zone
	agentsAt time.Time
	hereAt   time.Time
	tallies  map[string]*lore.Tally
	leave    ebb.Leave
	gone     map[string]*App // whose life is over, while something is out there
	ended    ended           // lives of appliances that are over
	asks     []Question
	aheads   []Ahead
}

// New begins a view that knows nothing.
func New(c *boot.Settings, luck func() float64) *Sway {
	return &Sway{node: c.Node, zone: c.Zone, region: c.Region, zones: c.Zones, bounds: c.Bounds, luck: luck,
		apps: map[string]*App{}, services: map[string]*service{}, tallies: map[string]*lore.Tally{},
		leave: ebb.NewLeave(c.Bounds.Empty), gone: map[string]*App{}}
}

// Count takes n, the agents that may be sending, and how many of them stand in this zone. A source that has just started
// knows few of them, and shares of what all may do together are divided by n: a smaller one is believed only when no
// larger one has been told for a while.
func (s *Sway) Count(agents, here int, now time.Time) {
	if agents >= s.agents || now.Sub(s.agentsAt) > believed {
		s.agents, s.agentsAt = max(agents, 1), now
	}
	if here >= s.here || now.Sub(s.hereAt) > believed {
		s.here, s.hereAt = max(here, 1), now
	}
}

// believed is for how long a larger n stands against smaller ones: longer than agents take to renew their leases at a
// source that has just started, some times over.
const believed = 10 * time.Second

// Configure takes a new table.
func (s *Sway) Configure(t *plan.Table, now time.Time) {
	old := s.table
	s.table = t
	for name := range t.Services {
		s.of(name)
	}
	for name := range s.services {
		if t.Services[name] == nil && len(s.services[name].queue) == 0 && len(s.services[name].apps) == 0 {
			delete(s.services, name)
		}
	}
	for name, r := range t.Releases {
		s.of(name).follow(r, now)
	}
	if old != nil {
		for _, a := range s.apps {
			was, is := old.Cleared[a.Zone], t.Cleared[a.Zone]
			if was && !is || old.Drained(a.Service, a.ID, a.Zone) && !t.Drained(a.Service, a.ID, a.Zone) {
				s.taken(a, now)
			}
		}
	}
	for _, x := range s.services {
		s.review(x, now)
	}
}

// taken guards against an appliance that went cold while nothing was sent to it, as its zone was cleared out or an operator
// drained it: until its pulses have had time to say so it counts as cold.
func (s *Sway) taken(a *App, now time.Time) {
	a.freeze(now.Add(s.warmUp(a.Service)+2*s.bounds.Pulse), now)
}

func (s *Sway) warmUp(service string) time.Duration {
	if s.table != nil {
		if b := s.table.Services[service]; b != nil {
			return b.WarmUp
		}
	}
	return 0
}

func (a *App) freeze(until, now time.Time) {
	if until.After(a.cold) {
		if !a.cold.After(now) {
			a.next = now
		}
		a.cold = until
	}
}

func (s *Sway) of(name string) *service {
	x := s.services[name]
	if x == nil {
		x = &service{}
		s.services[name] = x
	}
	return x
}

// Hear takes what the core tells of an appliance, under a version: an older one changes nothing.
func (s *Sway) Hear(id string, version uint64, told *lore.App, now time.Time) {
	a := s.apps[id]
	if a != nil && a.version >= version {
		return // an older word, by another way
	}
	if told.Phase == lore.Left {
		s.forget(id, now)
		s.ended.add(id, now)
		return
	}
	if s.ended.has(id, now) { // a source that was cut off may still tell of it as it was
		return
	}
	if a == nil {
		a = &App{ID: id, known: now}
		s.apps[id] = a
		x := s.of(told.Service)
		x.apps = append(x.apps, a)
		sort.Slice(x.apps, func(i, j int) bool { return x.apps[i].ID < x.apps[j].ID })
	}
	a.App, a.version = *told, version
	switch {
	case told.Zone == s.zone:
		a.Far = 0
	case s.zones[told.Zone] == s.region:
		a.Far = 1
	default:
		a.Far = 2
	}
	if warm := time.UnixMilli(told.Warm).Add(clocks); told.Warm != 0 && warm.After(now) {
		a.freeze(warm, now)
	} else if told.Warm == 0 && told.Phase == lore.Ready && a.doubt.since.Before(time.UnixMilli(told.Heard).Add(-clocks)) {
		a.cold = time.Time{} // its own word, and newer than what made us doubt
	}
	s.review(s.of(a.Service), now)
}

// clocks is by how far the times of day of two machines may stand apart, as the pages call them close.
const clocks = 250 * time.Millisecond

// forget takes an appliance out whose life is over; what is out there is waited for all the same.
func (s *Sway) forget(id string, now time.Time) {
	a := s.apps[id]
	if a == nil {
		return
	}
	delete(s.apps, id)
	a.Stand.End(now)
	if a.Stand.Out() > 0 {
		s.gone[id] = a
	}
	x := s.of(a.Service)
	for i, other := range x.apps {
		if other == a {
			x.apps = append(x.apps[:i:i], x.apps[i+1:]...)
			break
		}
	}
	s.review(x, now)
}

// Only keeps just the appliances that a source names which has told all that it knows; what it lacks and was heard of
// lately stays, as news may come by another way.
func (s *Sway) Only(ids map[string]bool, now time.Time) {
	for id, a := range s.apps {
		if !ids[id] && now.Sub(a.known) > 10*s.bounds.Pulse {
			s.forget(id, now)
		}
	}
}

// App is an appliance by its id.
func (s *Sway) App(id string) *App { return s.apps[id] }

// Take counts a request that a client has sent for a service, and says which service that is.
func (s *Sway) Take(r *Request, now time.Time) {
	r.Service = r.Way.Pick(s.luck())
	r.Verdict = verdict.NeverRan
	x := s.of(r.Service)
	x.asked(r.Way.HomeList, now)
	x.earn(s.bounds, s.agents)
	if x.trial != nil {
		x.trial.reached++
	}
}

// Pick chooses where a request goes now; nil where it has to wait for a place.
func (s *Sway) Pick(r *Request, now time.Time) *App {
	x := s.of(r.Service)
	arm, bound := s.arm(x, r, now)
	if a := s.best(x, r, arm, now); a != nil {
		return s.send(x, r, a, now)
	}
	if !bound { // a build without a place yields to the other
		if a := s.best(x, r, 1-arm, now); a != nil {
			return s.send(x, r, a, now)
		}
	}
	return nil
}

// Wait puts a request into the line for a place.
func (s *Sway) Wait(r *Request) {
	x := s.of(r.Service)
	r.waits = true
	x.queue = append(x.queue, r)
}

// Leave takes a request out of the line; false where a place was granted just before.
func (s *Sway) Leave(r *Request) bool {
	if !r.waits {
		return false
	}
	r.waits = false
	x := s.of(r.Service)
	for i, other := range x.queue {
		if other == r {
			x.queue = append(x.queue[:i:i], x.queue[i+1:]...)
			break
		}
	}
	return true
}

// Serve gives places to those who wait for a service: rank first, then who came first.
func (s *Sway) Serve(name string, now time.Time) {
	x := s.services[name]
	if x == nil || len(x.queue) == 0 {
		return
	}
	sort.SliceStable(x.queue, func(i, j int) bool {
		a, b := x.queue[i], x.queue[j]
		return a.Way.Rank < b.Way.Rank || a.Way.Rank == b.Way.Rank && a.Arrived.Before(b.Arrived)
	})
	var left []*Request
	for _, r := range x.queue {
		if a := s.Pick(r, now); a != nil {
			r.waits = false
			r.Granted <- a
		} else {
			left = append(left, r)
		}
	}
	x.queue = left
}

// ServeAll is Serve for all services.
func (s *Sway) ServeAll(now time.Time) {
	for name := range s.services {
		s.Serve(name, now)
	}
}

// Waiting tells whether any request waits for a place.
func (s *Sway) Waiting() bool {
	for _, x := range s.services {
		if len(x.queue) > 0 {
			return true
		}
	}
	return false
}

// best is the appliance of a build with the least cost, of those that may have the request. One that may have it but for
// the leave to send is asked, where there is no other.
func (s *Sway) best(x *service, r *Request, arm int, now time.Time) *App {
	var best, unsure *App
	least, leastUnsure := 0.0, 0.0
	first := arm == 1 && x.trial.loading(now) // by id: all agents take the same one
	for _, a := range x.apps {
		if !s.may(x, r, a, arm, now) {
			continue
		}
		covered := a.Stand.Covered(&s.leave, now)
		if first && covered {
			return a
		}
		switch c := s.cost(a, now); {
		case covered && (best == nil || c < least):
			best, least = a, c
		case !covered && (unsure == nil || c < leastUnsure):
			unsure, leastUnsure = a, c
		}
	}
	if best == nil && unsure != nil {
		s.question(unsure, now)
	}
	return best
}

// may tells whether an appliance may have a request now, as far as the appliance, the request and the build go.
func (s *Sway) may(x *service, r *Request, a *App, arm int, now time.Time) bool {
	if a.Stand.State() != ebb.Serving || x.armOf(a) != arm {
		return false
	}
	if r.Way.Homes != nil && !r.Way.Homes[s.zones[a.Zone]] {
		return false
	}
	for _, id := range r.tried {
		if id == a.ID {
			return false
		}
	}
	if a.Stand.Out() >= s.room(a) || !a.doubt.open(a, r, now) {
		return false
	}
	if a.cold.After(now) {
		return a.Far == 0 && !a.next.After(now)
	}
	return true
}

// room is how many requests of this relay may be out at an appliance. An appliance works on capacity at once and queues a
// few more; what it can't queue it may never answer, and holds to its client's last moment. The relays of a zone share
// its appliances, each a part and a little for chance. Those from elsewhere come only when their own are full, one request
// each. (Fewer relays to each far appliance, drawn by hash: 0.946 to 0.855 on btsamabay-edge, as zones with one appliance
// of a service need many others for a moment.)
func (s *Sway) room(a *App) int {
	if a.Far > 0 {
		return 1
	}
	k := max(s.here, 1)
	return (a.Capacity*7/4+k-1)/k + 1
}

// cost is what one more request at an appliance costs, in times of work: what it waits there, and how far it goes, as
// bytes between zones and regions are dear.
func (s *Sway) cost(a *App, now time.Time) float64 {
	part := float64(a.Capacity)
	if a.Far == 0 {
		part /= float64(max(s.here, 1))
	}
	load := float64(a.Stand.Out()+1) / part
	c := 0.2*load + max(0, load-1)
	c += [...]float64{0, 0.7, 1.6}[a.Far]
	if a.Far == 2 && s.table != nil && a.Stand.Out() > 0 {
		c += 0.2 // what is far is spread: others far from it think the same
	}
	c *= max(1, a.took.Read(clock(now), usualHalf, 1, 4))
	if a.Phase == lore.Silent {
		c += 3
	}
	return c + 0.05*s.luck()
}

// send notes that a request goes to an appliance.
func (s *Sway) send(x *service, r *Request, a *App, now time.Time) *App {
	a.Stand.Sent(!r.Way.Harmless)
	r.Sends++
	r.tried = append(r.tried, a.ID)
	r.To = Place{a.ID, a.Address, a.Far}
	if a.cold.After(now) {
		a.next = now.Add(s.coldGap(a))
	}
	r.trial = x.pick(a)
	return a
}

// coldGap is the time between two requests to a cold appliance. The relays of its zone alone feed it, each at its part of
// the rate; in any second that is the rate and one more from each, within what the excess and the leeway allow.
func (s *Sway) coldGap(a *App) time.Duration {
	rate := 0.0
	if b := s.table.Services[a.Service]; b != nil {
		rate = b.WarmRate
	}
	if rate <= 0 {
		return time.Second
	}
	return time.Duration(float64(max(s.here, 1)) / rate * float64(time.Second))
}

// Outcome is how a send ended.
type Outcome struct {
	Verdict verdict.Verdict
	Status  int  // of the appliance's answer, 0 where there is none
	Served  bool // a success with its stamp and its whole body
	Dialled bool // a connection was there
	Ours    bool // we broke it off: its client is gone, or its time is over
	Late    bool // its time was over before it was answered
	Took    time.Duration
	Closes  bool // the answer closes its connection
	// Withheld: nothing was written, as the appliance began to leave while the connection came up. It is not to blame.
	Withheld bool
}

// Ended takes the outcome of a send.
func (s *Sway) Ended(r *Request, a *App, o Outcome, now time.Time) {
	a.Stand.Back(!r.Way.Harmless)
	if a.Stand.Out() == 0 {
		delete(s.gone, a.ID)
	}
	x := s.of(r.Service)
	if o.Withheld {
		s.withheld(x, r)
		return
	}
	if o.Status != 0 {
		a.Stand.Answered(now.Add(-o.Took), o.Closes)
	}
	r.Verdict = verdict.Join(r.Verdict, o.Verdict)
	if o.Dialled {
		r.Arrivals++
	}
	a.doubt.ended(a, o, now)
	if o.Status == 421 {
		s.forget(a.ID, now)
	}
	if o.Served {
		usual := x.usual.Read(clock(now), usualHalf, o.Took.Seconds(), 1)
		x.usual.Add(clock(now), usualHalf, o.Took.Seconds())
		if usual > 0 {
			a.took.Add(clock(now), usualHalf, min(o.Took.Seconds()/usual, 10))
		}
	}
	if x.trial != nil {
		x.trial.outcome(r, o, now)
	}
	s.Serve(r.Service, now)
}

const usualHalf = 5 * time.Second

var epoch = time.Unix(0, 0)

func clock(now time.Time) time.Duration { return now.Sub(epoch) }

// Usual is how long an answer of a service takes of late; 0 where none is known.
func (s *Sway) Usual(name string, now time.Time) time.Duration {
	return time.Duration(s.of(name).usual.Read(clock(now), usualHalf, 0, 0.001) * float64(time.Second))
}
