package fleet

import (
	"time"

	"sagelever/internal/agent/api"
)

const (
	announceSpreadMs  = 500 // maximum delay of an announcement to an agent, exclusive
	voteAnswerDelay   = 50 * time.Millisecond
	minStageTime      = 4 * time.Second // minimum time in a stage before a vote to advance counts
	replacementIDBase = 100000          // IDs of replacement backends are higher
)

var (
	stageCaps   = []float64{0.12, 0.42, 1} // RolloutUpdate.Cap by stage
	stageShares = []float64{0.1, 0.35, 1}  // share of the backends that run the build on trial, by stage
)

// Platform runs the rollout of a build. A single vote is enough to advance it to the next stage or to roll it back.
type Platform struct {
	Moves []Move

	rollout   api.RolloutUpdate
	caps      []float64
	changedAt time.Duration
	prepare   func(*Backend) // sets the properties of a new backend that runs the build on trial
}

// Move is a change of the rollout's phase or stage.
type Move struct {
	At    time.Duration
	Phase api.Phase
	Stage api.Stage
}

// OfferBuild starts the rollout of a build. prepare sets the properties of each backend that runs it. In the first
// stage, these are a tenth of all backends.
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

// fillStage replaces backends of the earlier build until the share of the present stage runs the build on trial.
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

// replacement returns a backend that replaces another one. The replaced backend still finishes its attempts.
func (s *Simulation) replacement(build api.Build) *Backend {
	next := s.newBackend(0, build, s.Now)
	s.version++
	next.ID = api.BackendID(replacementIDBase + s.version)
	return next
}

// announceBackends sends the list of backends to every agent.
func (s *Simulation) announceBackends() {
	s.forEachNode(func(n *Node) { n.deliver(n.backendUpdate(api.UpdateSnapshot)) })
}

// announceRollout records a change of the rollout and sends its state to every agent.
func (s *Simulation) announceRollout() {
	p := &s.Platform
	p.changedAt = s.Now
	p.Moves = append(p.Moves, Move{s.Now, p.rollout.Phase, p.rollout.Stage})
	s.forEachNode(func(n *Node) { n.deliver(p.rollout) })
}

// forEachNode calls do for every agent, each after a random delay of less than announceSpreadMs, unless the agent has
// been killed by then.
func (s *Simulation) forEachNode(do func(*Node)) {
	for _, n := range s.Nodes {
		delay := time.Duration(s.random.IntN(announceSpreadMs)) * time.Millisecond
		n.after(delay, func() { do(n) })
	}
}

// receiveVote applies a vote and answers it, unless the agent has been killed or has restarted by then.
func (p *Platform) receiveVote(simulation *Simulation, node *Node, incarnation int, vote api.CastVote) {
	reply := api.RolloutUpdate{Result: api.VoteStale, AnswersVote: true}
	if p.accepts(vote) {
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

// accepts reports whether a vote is for the present build and stage, in a phase in which it can change the rollout.
func (p *Platform) accepts(vote api.CastVote) bool {
	if vote.Build != p.rollout.Build || vote.Stage != p.rollout.Stage {
		return false
	}
	return p.rollout.Phase == api.PhaseTrial ||
		p.rollout.Phase == api.PhaseReleased && vote.Verdict == api.VerdictRollBack
}

// applyVote changes the rollout according to an accepted vote.
func (p *Platform) applyVote(simulation *Simulation, vote api.CastVote) {
	mayAdvance := simulation.Now-p.changedAt > minStageTime
	switch {
	case vote.Verdict == api.VerdictRollBack:
		p.rollout.Phase, p.rollout.Cap = api.PhaseRollingBack, 0
		for i, backend := range simulation.Fleet {
			if backend.Build == p.rollout.Build {
				simulation.Fleet[i] = simulation.replacement(initialBuild)
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
