package replica

import (
	"strconv"
	"time"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
)

const (
	// removeAfter is for how long a member is silent before it is removed without a successor, where the others can bear as
	// many losses without it: longer than regions are cut off from one another.
	removeAfter = 5 * time.Minute
	// firstWait is for how long the first contacts wait for all members before they decide on a first set without those that
	// are missing: all are started within a part of a second.
	firstWait = 1500 * time.Millisecond
	// firstTurn is for how long a first contact leaves it to those before it in the list to propose the first set.
	firstTurn = 300 * time.Millisecond
)

const (
	// candidateWait is for how long a candidate's pull waits for news: shorter than a member's, so that one that is gone is not
	// voted in. From when a next set is accepted, losses count against both sets together.
	candidateWait = time.Second
	// candidateHeard is for how long a candidate counts as there after its last pull.
	candidateHeard = candidateWait + 750*time.Millisecond
)

// candidate is a replica that is no member and has called.
type candidate struct {
	membership.Candidate
	at time.Time
}

// noteCandidate takes up a replica that calls and is no member.
func (m *Replica) noteCandidate(now time.Time, p *Pull) {
	s := &m.standing
	ready := p.Ready && p.From.Disk != "" && !p.Ending
	if s.set.Epoch > 0 {
		ready = ready && p.Set > 0
	}
	known := m.candidates[p.From.Node]
	if known == nil || known.Ready != ready || !known.Is(p.From) {
		m.say("a replica would be a member", "node", p.From.Node, "ready", strconv.FormatBool(ready))
	}
	m.candidates[p.From.Node] = &candidate{membership.Candidate{Member: p.From, Ready: ready}, now}
	if ready {
		m.steer(now)
	}
}

// present are the candidates that were heard lately.
func (m *Replica) present(now time.Time) []membership.Candidate {
	var out []membership.Candidate
	for node, c := range m.candidates {
		if now.Sub(c.at) > candidateHeard {
			delete(m.candidates, node)
		} else {
			out = append(out, c.Candidate)
		}
	}
	return out
}

// steer proposes the next set of members where there should be one: the first by name of the members that are heard does it
// for all, and one that leaves for itself.
func (m *Replica) steer(now time.Time) {
	s := &m.standing
	if s.proposing || !m.Acting() {
		return
	}
	if s.set.Epoch == 0 {
		m.steerFirst(now)
		return
	}
	if !m.leaving && (!m.Sound(now) || !m.firstHeard(now)) || !m.settled(now) {
		return
	}
	seen := []membership.Seen{{Member: s.me, Leaving: m.leaving}}
	for node, x := range m.members {
		one := membership.Seen{Member: x.Member, Leaving: x.leaving}
		if !m.heardOf(node, now) {
			one.Silent = max(1, now.Sub(latest(x.heard, x.since, m.begun)))
		}
		seen = append(seen, one)
	}
	limits := membership.Limits{Replace: Heard, Remove: removeAfter}
	if next, reason, ok := membership.Next(s.set, m.c.Target, limits, seen, m.present(now)); ok {
		m.propose(now, next, reason)
	}
}

func latest(times ...time.Time) (last time.Time) {
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// joinPatience is for how long the next change of members waits for one that is heard and does not act.
const joinPatience = 10 * time.Second

// settled tells whether all members that are not given up act in the epoch in force. The next set takes over from these: proposed
// sooner, it could find too few of them after one loss, and those that would still act in this epoch go for the newest one.
func (m *Replica) settled(now time.Time) bool {
	s := &m.standing
	if now.Sub(s.adopted) >= joinPatience {
		return true
	}
	for _, x := range m.members {
		given := now.Sub(latest(x.heard, x.since)) >= Heard // it is given up
		if !given && x.acting != s.set.Epoch {
			return false
		}
	}
	return true
}

// firstHeard tells whether this member is the first by name of those that are heard.
func (m *Replica) firstHeard(now time.Time) bool {
	for node := range m.members {
		if node < m.c.Me.Node && m.heardOf(node, now) {
			return false
		}
	}
	return true
}

// steerFirst proposes the first set, as one of the first contacts.
func (m *Replica) steerFirst(now time.Time) {
	s := &m.standing
	present := append(m.present(now), membership.Candidate{Member: s.me, Ready: true})
	next, ok := membership.First(m.c.Target, present, now.Sub(m.begun) > firstWait)
	if !ok {
		s.present = time.Time{}
		return
	}
	if s.present.IsZero() {
		s.present = now
	}
	turn := time.Duration(0)
	for _, x := range s.set.Members {
		if x.Addr < s.me.Addr {
			turn += firstTurn
		}
	}
	if now.Sub(s.present) >= turn {
		m.propose(now, next, membership.FirstSet)
	}
}

// propose has the members decide on the next set.
func (m *Replica) propose(now time.Time, next membership.Set, reason membership.Reason) {
	s := &m.standing
	s.proposing = true
	m.say("next members proposed", "epoch", strconv.FormatUint(next.Epoch, 10), "reason", string(reason), "members", strconv.Itoa(len(next.Members)))
	keys, decide := quorum.Each(map[string]quorum.Change{membership.Key: s.set.Change(next)})
	m.begin(now, &task{kind: writing, until: now.Add(4 * attempt), keys: keys, decide: decide, after: func() { s.proposing = false }})
}

// Handing tells whether an ending process should go on for a while: a successor is ready and takes this member's place, or has
// taken it and so few members act in the new epoch that one more loss could take what only this replica holds with it.
func (m *Replica) Handing(now time.Time) bool {
	s := &m.standing
	if !m.leaving || !s.identity.Acting || !s.confirmed {
		return false
	}
	if !s.member() {
		return m.own() && m.actingNow() <= s.set.Lose
	}
	for _, c := range m.present(now) {
		if c.Ready && c.Zone == s.me.Zone {
			return true
		}
	}
	return false
}

// actingNow is how many members have told that they act in the epoch in force.
func (m *Replica) actingNow() (acting int) {
	for _, x := range m.members {
		if x.acting == m.standing.set.Epoch {
			acting++
		}
	}
	return acting
}
