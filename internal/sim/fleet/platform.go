package fleet

import (
	"time"

	"sagelever/internal/agent/api"
)

const (
	announceSpread  = 500 // milliseconds within which all agents hear of a change
	voteAnswerDelay = 50 * time.Millisecond
	minStageTime    = 4 * time.Second // before a vote to advance counts
	replacementID   = 100000          // ids of backends that replace others are above it
)

var (
	stageCaps   = []float64{0.12, 0.42, 1}
	stageShares = []float64{0.1, 0.35, 1} // of the backends that run the build on trial
)

// Platform moves builds through their stages by single votes: one to advance is enough, and one to roll back.
type Platform struct {
	Moves []Move

	rollout   api.RolloutUpdate
	caps      []float64
	changedAt time.Duration
	prepare   func(*Backend) // makes a new backend like those of the build on trial
}

// Move is one change of the rollout.
type Move struct {
	At    time.Duration
	Phase api.Phase
	Stage api.Stage
}

// OfferBuild starts the rollout of a build. prepare says what its backends are like; a tenth of all run it in the first
// stage.
func (s *Simulation) OfferBuild(build api.Build, prepare func(*Backend)) {
	p := &s.Platform
	p.prepare = prepare
	p.caps = stageCaps
	p.rollout = api.RolloutUpdate{
		Result: api.VoteCounted,
		Build:  build,
		Cap:    p.caps[0],
		Phase:  api.PhaseTrial,
	}
	s.announceRollout()
	s.fillStage()
}

// fillStage replaces backends of the earlier build until the stage's share runs the build on trial.
func (s *Simulation) fillStage() {
	p := &s.Platform
	want := stageShares[p.rollout.Stage] * float64(len(s.Fleet))
	have := 0
	for _, backend := range s.Fleet {
		if backend.Build == p.rollout.Build {
			have++
		}
	}
	for i, backend := range s.Fleet {
		if float64(have) >= want {
			break
		}
		if backend.Build != p.rollout.Build {
			s.Fleet[i] = s.replacement(p.rollout.Build)
			p.prepare(s.Fleet[i])
			have++
		}
	}
	s.announceBackends()
}

// replacement is a backend that takes the place of another, which finishes the attempts that it has.
func (s *Simulation) replacement(build api.Build) *Backend {
	next := s.newBackend(0, build, s.Now)
	s.version++
	next.ID = api.BackendID(replacementID + s.version)
	return next
}

// announceBackends sends every agent the list.
func (s *Simulation) announceBackends() {
	s.forEachNode(func(n *Node) { n.deliver(n.backendUpdate(api.UpdateSnapshot)) })
}

// announceRollout sends every agent the state of the rollout.
func (s *Simulation) announceRollout() {
	p := &s.Platform
	p.changedAt = s.Now
	p.Moves = append(p.Moves, Move{s.Now, p.rollout.Phase, p.rollout.Stage})
	s.forEachNode(func(n *Node) { n.deliver(p.rollout) })
}

// forEachNode does something for every agent, within announceSpread, if the agent has not died by then.
func (s *Simulation) forEachNode(do func(*Node)) {
	for _, n := range s.Nodes {
		delay := time.Duration(s.random.IntN(announceSpread)) * time.Millisecond
		n.after(delay, func() { do(n) })
	}
}

// receiveVote takes one vote and answers it, if the agent lives in the same incarnation.
func (p *Platform) receiveVote(simulation *Simulation, node *Node, incarnation int, vote api.CastVote) {
	reply := api.RolloutUpdate{Result: api.VoteStale, AnswersVote: true}
	if p.counts(vote) {
		p.applyVote(simulation, vote)
		reply = p.rollout
		reply.AnswersVote = true
	}
	simulation.After(voteAnswerDelay, func() {
		if node.alive && node.incarnation == incarnation {
			node.deliver(reply)
		}
	})
}

// counts reports whether a vote is on the present build and stage, and may still change anything.
func (p *Platform) counts(vote api.CastVote) bool {
	if vote.Build != p.rollout.Build || vote.Stage != p.rollout.Stage {
		return false
	}
	return p.rollout.Phase == api.PhaseTrial ||
		p.rollout.Phase == api.PhaseReleased && vote.Verdict == api.VerdictRollBack
}

// applyVote moves the rollout by a vote that counts.
func (p *Platform) applyVote(simulation *Simulation, vote api.CastVote) {
	mayAdvance := simulation.Now-p.changedAt > minStageTime
	switch {
	case vote.Verdict == api.VerdictRollBack:
		p.rollout.Phase, p.rollout.Cap = api.PhaseRollingBack, 0
		for i, backend := range simulation.Fleet {
			if backend.Build == p.rollout.Build {
				simulation.Fleet[i] = simulation.replacement(1)
			}
		}
		simulation.announceRollout()
		simulation.announceBackends()
	case vote.Verdict != api.VerdictAdvance || !mayAdvance:
	case int(p.rollout.Stage) == len(p.caps)-1:
		p.rollout.Phase = api.PhaseReleased
		simulation.announceRollout()
	default:
		p.rollout.Stage++
		p.rollout.Cap = p.caps[p.rollout.Stage]
		simulation.announceRollout()
		simulation.fillStage()
	}
}
