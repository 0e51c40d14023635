package sway

import (
	"time"

	"sagelever/arms"
	"sagelever/lore"
	"sagelever/plan"
)

// trial is a release under way as this relay tracks it, by the design: D-Tracking picks the build for each request, under
// a cap that holds over all agents; Z over the counts of all agents against log(2t·n/δ) decides its vote.
type trial struct {
	release plan.Release
	began   time.Time // when this relay heard of the order
	own     lore.Tally
	reached float64
}

// follow takes up a release as it stands.
func (x *service) follow(r *plan.Release, now time.Time) {
	switch {
	case r.Phase == plan.Finished:
		x.builds, x.trial = r.Target, nil
	case x.trial == nil || x.trial.release.Number != r.Number:
		x.trial = &trial{release: *r, began: now, own: lore.Tally{Number: r.Number}}
	default:
		x.trial.release = *r
	}
}

// armOf is 1 for an appliance of the build on trial, 0 for one of the build in force, and -1 for one that may get
// nothing: of a build that was sent back, or that no order has named.
func (x *service) armOf(a *App) int {
	if x.trial != nil && a.Build == x.trial.release.Target && x.trial.release.Phase == plan.InService {
		return 1
	}
	if x.builds == "" { // asked for a request: by now the appliances have been heard of
		x.builds = x.mostCommon()
	}
	if x.retired(a) {
		return -1
	}
	return 0
}

// retired tells whether an appliance's build is known to be out of service. It does not settle which build is in force, as
// it is asked while appliances are heard of one by one.
func (x *service) retired(a *App) bool {
	if x.trial != nil && a.Build == x.trial.release.Target {
		return x.trial.release.Phase != plan.InService
	}
	return x.builds != "" && a.Build != x.builds && x.serves(x.builds)
}

// mostCommon is the build of most appliances beside the trial's: the one in force, where no release has told.
func (x *service) mostCommon() (build string) {
	count := map[string]int{}
	for _, a := range x.apps {
		if x.trial == nil || a.Build != x.trial.release.Target {
			count[a.Build]++
			if n, most := count[a.Build], count[build]; n > most || n == most && a.Build < build {
				build = a.Build
			}
		}
	}
	return build
}

// serves tells whether any appliance of a build is ready.
func (x *service) serves(build string) bool {
	for _, a := range x.apps {
		if a.Build == build && (a.Phase == lore.Ready || a.Phase == lore.Silent) {
			return true
		}
	}
	return false
}

const (
	risk     = 0.1  // δ: a wrong word costs about as much as ten needless seconds of a trial
	margin   = 0.03 // added to the trial's mean before it counts as behind: docs/design.md
	slack    = 0.15 // by which the trial may be worse without being seen, when it is let finish
	part     = 0.9  // of the cap that is used: counts are told with a delay
	loadFrom = 0.35 // of the release's time from which all of the trial's requests go to one of its appliances
	patient  = 0.6  // of the release's time that has to pass before a vote on, and until which that is so
	fewest   = 50   // outcomes of the trial, over all agents, for a vote on
	underway = 20   // of these, the ones under load
	leeways  = 0.5  // of the leeway that is used; the rest is for what is out when the cap is met
	lastWord = 0.94 // of the release's time after which no vote on is cast: finishing takes a while too
)

// loading tells whether the trial is being loaded: under a cap of a tenth its appliances are idle, and a build that fails
// under load alone would pass. So for a part of the time its requests all go to the first of its appliances by id.
func (t *trial) loading(now time.Time) bool {
	over := float64(t.release.OverMs) * float64(time.Millisecond)
	gone := float64(now.Sub(t.began))
	return gone > loadFrom*over && gone < patient*over
}

// arm is the build that a request goes to, and whether the other must not serve instead.
func (s *Sway) arm(x *service, r *Request, now time.Time) (arm int, bound bool) {
	t := x.trial
	if t == nil || t.release.Phase != plan.InService {
		return 0, true
	}
	own := t.own
	free := leeways * s.bounds.BadLeeway / float64(s.agents+spares(s.agents))
	if own.Sent+1 > free+part*s.bounds.BadShare*t.reached {
		return 0, true
	}
	if r.Arrivals > 0 {
		return 0, true // a further try is not for the trial
	}
	if arms.Track(counted(own, 0), counted(own, 1)) {
		return 1, false
	}
	return 0, true
}

func counted(t lore.Tally, i int) arms.Arm {
	picked := t.Sent
	if i == 0 {
		picked = t.Reached - t.Sent
	}
	return arms.Arm{Picked: max(0, picked), N: t.Tried[i], Sum: t.Paid[i]}
}

// pick counts a send; it tells whether it goes to the trial.
func (x *service) pick(a *App) bool {
	t := x.trial
	if t == nil || t.release.Phase != plan.InService {
		return false
	}
	t.own.Reached++
	if a.Build == t.release.Target {
		t.own.Sent++
		return true
	}
	return false
}

// outcome counts what came of a send. A payoff is an answer within the route's target; what was broken off by us, or
// turned away, or is its client's own fault says nothing of the build.
func (t *trial) outcome(r *Request, o Outcome, now time.Time) {
	if o.Ours && !o.Late || !o.Dialled || o.Status >= 400 && o.Status < 500 || o.Status == 503 && !o.Served {
		return
	}
	i := 0
	if r.trial {
		i = 1
	}
	paid := 0.0
	if o.Served && (r.Way.Target == 0 || o.Took <= r.Way.Target) {
		paid = 1
	}
	t.own.Tried[i]++
	t.own.Paid[i] += paid
	if i == 1 && t.loading(now) {
		t.own.Busy[0]++
		t.own.Busy[1] += paid
	}
	if !o.Served {
		t.own.Faults[i]++
	}
}

// Learn takes what another agent has seen of a release, by the key of its item.
func (s *Sway) Learn(key string, t *lore.Tally) {
	if len(s.tallies) < 4096 {
		s.tallies[key] = t
	}
}

// Tallies are this relay's own counts of the releases under way, by service, with its vote as it stands.
func (s *Sway) Tallies(life string, now time.Time) map[string]*lore.Tally {
	out := map[string]*lore.Tally{}
	for name, x := range s.services {
		if x.trial == nil {
			continue
		}
		if x.trial.release.Phase != plan.InService {
			for key, t := range s.tallies {
				if t.Number <= x.trial.release.Number && len(key) > len(name) && key[:len(name)+1] == name+"/" {
					delete(s.tallies, key)
				}
			}
			continue
		}
		t := x.trial.own
		t.Agent = life
		t.Vote = s.vote(name, x, life, now)
		out[name] = &t
	}
	return out
}

// vote is what the counts of all agents say of the trial.
func (s *Sway) vote(name string, x *service, life string, now time.Time) string {
	t := x.trial
	both := [2]arms.Arm{counted(t.own, 0), counted(t.own, 1)}
	faults, busy := t.own.Faults, arms.Arm{N: t.own.Busy[0], Sum: t.own.Busy[1]}
	for key, other := range s.tallies {
		if other.Number != t.release.Number || other.Agent == life || len(key) <= len(name) || key[:len(name)+1] != name+"/" {
			continue
		}
		for i := range both {
			c := counted(*other, i)
			both[i].Picked += c.Picked
			both[i].N += c.N
			both[i].Sum += c.Sum
			faults[i] += other.Faults[i]
		}
		busy.N += other.Busy[0]
		busy.Sum += other.Busy[1]
	}
	wall := arms.Threshold(both[0].Picked+both[1].Picked, float64(s.agents), risk)
	sound := [2]arms.Arm{both[0], both[1]}
	for i := range sound {
		sound[i].Sum = sound[i].N - faults[i]
	}
	for _, pair := range [][2]arms.Arm{both, sound} {
		if pair[1].Mean()+margin < pair[0].Mean() && arms.Statistic(pair[0], pair[1], margin) > wall {
			return plan.VoteBack
		}
	}
	over := time.Duration(t.release.OverMs) * time.Millisecond
	gone := now.Sub(t.began)
	if gone < time.Duration(patient*float64(over)) || gone > time.Duration(lastWord*float64(over)) || both[1].N < fewest ||
		busy.N < underway || busy.Mean() < both[0].Mean()-slack {
		return ""
	}
	// No worse: the trial is ahead of an earlier build that did worse by the slack, and Z says so.
	for _, pair := range [][2]arms.Arm{both, sound} {
		if pair[1].Mean() < pair[0].Mean()-slack || arms.Statistic(pair[1], pair[0], -slack) < wall {
			return ""
		}
	}
	return plan.VoteOn
}
