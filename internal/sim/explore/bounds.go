package explore

import "sagelever/internal/control/quorum"

// Sizes of the instance. They are constants because a state has a fixed size.
const (
	// memberCount is the number of members: three that are initially active, and a learner.
	memberCount = 4
	// maxRounds is the maximum number of rounds of an instance.
	maxRounds = 7
	// maxEpochs is the maximum number of consecutive configurations.
	maxEpochs = 3
	// maxFailures is the maximum number of disks that are lost at the same time (f of package quorum).
	maxFailures = 1
	// prepareQuorum is the number of promises that a round waits for.
	prepareQuorum = maxFailures + 1
)

// Keys of the two registers.
const (
	ItemKey          = "item"
	ConfigurationKey = "members"
)

// Write is a conditional write of the item, which takes effect if its version is higher than the current one.
type Write struct {
	Version uint64
	Content string
}

func (w Write) value() quorum.Value {
	return quorum.Value{Version: w.Version, Body: w.Content}
}

// Configuration is the set of members of an epoch. Members are numbered from 0.
type Configuration struct {
	Epoch   uint8
	Members []int
}

func (c Configuration) mask() (mask memberMask) {
	for _, member := range c.Members {
		mask = mask.with(member)
	}
	return mask
}

func (c Configuration) value() quorum.Value {
	return quorum.Value{Version: uint64(c.Epoch), Body: c.mask().String()}
}

// Bounds limits the instance that is explored.
type Bounds struct {
	Writes []Write
	// WriteRounds is the number of rounds that each write may begin, in any epoch.
	WriteRounds int
	// Configurations lists the initial configuration, followed by those that are proposed. Each of them is proposed in the
	// epoch before its own.
	Configurations []Configuration
	// ConfigurationRounds is the number of rounds that propose each configuration after the initial one.
	ConfigurationRounds int
	// DiskLosses is the maximum number of disk losses. In addition, at most maxFailures members of each configuration in
	// use lose their disks.
	DiskLosses int
	Restarts   int // the maximum number of restarts
	// SlowReads includes quorum reads whose replies are sent at different times. Reads whose replies are sent at the same
	// time are always included.
	SlowReads bool
	// Learning allows members to learn the item from one another at any time, as readers and learners do.
	Learning bool
	// Recovery requires that in every state the remaining members can still acknowledge a write.
	Recovery bool
	// MaxStates is the number of visited states at which the exploration stops, even if it is incomplete.
	MaxStates int
}
