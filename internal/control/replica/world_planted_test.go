package replica

import (
	"slices"

	"sagelever/internal/control/membership"
	"sagelever/internal/control/quorum"
	"sagelever/plan"
)

// What takes a mechanism out of the replicas of a world, so that it shows whether the checks find it.
const (
	removedCounts   = "a removed member's words counted"
	noSealing       = "no sealing"
	smallTakeover   = "takeover from f instead of f+1"
	noTakeover      = "voted in before it holds everything, and takeover skipped"
	oldDiskTrusted  = "an old disk trusted"
	ballotsNoEpoch  = "ballots without epoch"
	pageLost        = "a page lost in catching up"
	wipedCounts     = "a wiped member counts"
	leaseForever    = "a lease that ran out"
	wordBeforeSync  = "word before the sync"
	olderOverNewer  = "older over newer"
	decisionsMerged = "two decisions merged"
	removalAlone    = "a removal acknowledged alone"
)

// plantAsk may have a message go to another replica than it is for.
func (w *world) plantAsk(to *node, s Send) (*node, Send) {
	if w.planted != removedCounts || s.Path != PreparePath && s.Path != AcceptPath || s.Ask.Epoch == 0 {
		return to, s
	}
	for _, x := range w.nodes {
		if x.up && x != to && x.place == to.place && x.m.standing.identity.Acting && !x.m.standing.member() {
			asked := *s.Ask
			asked.Epoch = x.m.standing.set.Epoch
			s.Ask = &asked
			return x, s
		}
	}
	return to, s
}

// plantReply may alter a reply on its way.
func (w *world) plantReply(s Send, r *Reply) *Reply {
	if r == nil {
		return nil
	}
	altered := *r
	switch {
	case w.planted == oldDiskTrusted && s.Path == GenerationPath:
		altered.Generation = 0
	case w.planted == ballotsNoEpoch && s.Path == PreparePath && r.OK:
		altered.Held = slices.Clone(r.Held)
		for i := range altered.Held {
			// By its number alone a ballot of the set before may lie after all of this one.
			if accepted := &altered.Held[i].Accepted; *accepted != (quorum.Ballot{}) && accepted.Epoch < s.Ask.Epoch {
				accepted.Epoch, accepted.N = s.Ask.Epoch, accepted.N+1000
			}
		}
	case w.planted == pageLost && s.Path == StatePath && r.OK:
		altered.Held = slices.DeleteFunc(slices.Clone(r.Held), func(e quorum.Entry) bool { return e.Key != membership.Key })
	}
	return &altered
}

// plantBefore may alter a replica before it is asked, and plantAfter undoes that.
func (w *world) plantBefore(x *node, s Send) {
	m := x.m
	if w.planted == noSealing && x.unsealed.Key == "" && m.standing.set.Epoch > 0 && m.Acting() && m.sealed() && (s.Path == ReadPath || !onlyMembers(s.Ask)) {
		x.unsealed = m.acceptor.Get(membership.Key)
		var rest []quorum.Entry
		for _, key := range w.keys() {
			if key != membership.Key {
				rest = append(rest, m.acceptor.Get(key))
			}
		}
		m.acceptor = quorum.NewAcceptor(rest, m.acceptor.Floor())
	}
	if w.planted == removedCounts && s.Path != ReadPath && m.standing.identity.Acting && !m.standing.member() && s.Ask.Epoch == m.standing.set.Epoch {
		x.wasSet, x.wasIdentity, x.faking = m.standing.set, m.standing.identity, true
		m.standing.identity.Active = m.standing.set.Epoch
		m.standing.confirmed = true
		m.standing.set.Members = append(slices.Clone(m.standing.set.Members), m.standing.me)
	}
}

func (w *world) plantAfter(x *node) {
	if x.unsealed.Key != "" {
		x.m.acceptor.Learn([]quorum.Entry{x.unsealed})
		x.unsealed = quorum.Entry{}
	}
	if x.faking {
		x.m.standing.set, x.m.standing.identity, x.faking = x.wasSet, x.wasIdentity, false
	}
}

// plantStep may alter a replica after a step.
func (w *world) plantStep(x *node) {
	s := &x.m.standing
	switch w.planted {
	case smallTakeover:
		if s.set.Epoch > 1 {
			s.set.PrevLose = w.f - 1
		}
	case noTakeover:
		if s.set.Epoch > 1 && s.member() && !s.identity.Acting && s.saved && s.confirmed {
			s.identity.Acting, s.identity.Active = true, s.set.Epoch
		}
	}
}

// keys are those of all registers that the world writes.
func (w *world) keys() []string {
	keys := []string{membership.Key, plan.ClearedKey("z1"), plan.ReleaseKey("s")}
	for _, r := range []string{"r0", "r1", "r2"} {
		keys = append(keys, plan.Key(plan.Routes, r))
	}
	return keys
}
