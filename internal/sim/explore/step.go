package explore

import "fmt"

// StepKind is the kind of a step.
type StepKind int

// The kinds of steps.
const (
	StepPromise StepKind = iota
	StepAccept
	StepFetch
	StepLearn
	StepActivate
	StepDiskLoss
	StepRestart
	StepReadBegin
	StepReadEnd
)

// Step is one step of a trace.
type Step struct {
	Kind    StepKind
	Round   int
	Member  int
	Epoch   uint8
	Sources memberMask // members whose state is merged, fetched or learned
	Note    string     // appended to the description of the step
}

func (s Step) String() string {
	name := memberName(s.Member)
	switch s.Kind {
	case StepPromise:
		return fmt.Sprintf("%s promises to round %d.%d%s", name, s.Epoch, s.Round+1, s.Note)
	case StepAccept:
		return fmt.Sprintf("%s accepts in round %d.%d%s", name, s.Epoch, s.Round+1, s.Note)
	case StepFetch:
		return fmt.Sprintf("%s fetches the state of %s, for epoch %d", name, s.Sources, s.Epoch)
	case StepLearn:
		return fmt.Sprintf("%s learns the item from %s", name, s.Sources)
	case StepActivate:
		return fmt.Sprintf("%s becomes active in epoch %d%s", name, s.Epoch, s.Note)
	case StepDiskLoss:
		return name + " loses its disk"
	case StepRestart:
		return name + " restarts from its disk"
	case StepReadBegin:
		return fmt.Sprintf("a read of epoch %d begins with the reply of %s%s", s.Epoch, name, s.Note)
	}
	return fmt.Sprintf("the read ends with the reply of %s%s", name, s.Note)
}

// successor is a state that is reached in one step.
type successor struct {
	state state
	step  Step
}

// successors appends all states that are reached in one step. Their order must be deterministic, because a visit refers
// to a successor by its index.
func (m *model) successors(s *state, out []successor) []successor {
	for round := range m.exploredRounds {
		out = m.roundSteps(s, round, out)
	}
	for member := range memberCount {
		if s.members[member].lost {
			continue
		}
		out = m.activationSteps(s, member, out)
		out = m.diskLossSteps(s, member, out)
		out = m.restartSteps(s, member, out)
		if m.bounds.Learning {
			out = m.learnSteps(s, member, out)
		}
	}
	if m.bounds.SlowReads {
		out = m.readSteps(s, out)
	}
	return out
}

// describeItem describes a value of the item.
func (m *model) describeItem(id valueID) string {
	if id == 0 {
		return "nothing"
	}
	value := m.value(ItemKey, id)
	return fmt.Sprintf("version %d with %s", value.Version, value.Body)
}

// describeValue describes a value of the register of a round.
func (m *model) describeValue(round int, id valueID) string {
	key := m.roundSpecs[round].key
	value := m.value(key, id)
	return fmt.Sprintf("version %d of %s, %s", value.Version, key, value.Body)
}

func (m *model) proposalNote(s *state, round int) string {
	if !s.rounds[round].proposed {
		return ""
	}
	return ", which proposes " + m.describeValue(round, s.rounds[round].value)
}

func (m *model) chosenNote(before, after *state, round int) string {
	if !after.rounds[round].chosen || before.rounds[round].chosen {
		return ""
	}
	return ": " + m.describeValue(round, after.rounds[round].value) + " is chosen"
}

func activationNote(sources memberMask) string {
	if sources == 0 {
		return " with the state that it fetched"
	}
	return fmt.Sprintf(" with the state of %s when they were sealed", sources)
}

func (m *model) replyNote(report itemReport) string {
	return ", which is " + m.describeItem(report.value)
}
