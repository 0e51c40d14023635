package explore

import "sagelever/internal/control/quorum"

// Sizes of the instance. A state has a fixed size, so that these are constants.
const (
	// memberCount is the number of members: three that are active at first, and a learner.
	memberCount = 4
	// maxRounds bounds the rounds of an instance.
	maxRounds = 7
	// maxEpochs bounds the number of configurations that follow one another.
	maxEpochs = 3
	// maxFailures is how many disks may be lost at the same time (f of package quorum).
	maxFailures = 1
	// prepareQuorum is the number of promises that a round waits for.
	prepareQuorum = maxFailures + 1
)

// Keys of the two registers.
const (
	ItemKey          = "item"
	ConfigurationKey = "members"
)

// Write is a conditional write of the item. It takes effect if its version is higher than the current one.
type Write struct {
	Version uint64
	Content string
}

func (w Write) value() quorum.Value {
	return quorum.Value{Version: w.Version, Body: w.Content}
}

// Configuration is the members of an epoch, numbered from 0.
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

// Bounds are the size of an instance.
type Bounds struct {
	Writes []Write
	// WriteRounds is the number of rounds that each write may begin, in any epoch.
	WriteRounds int
	// Configurations are the initial one, followed by those that are proposed in the epoch before their own.
	Configurations []Configuration
	// ConfigurationRounds is the number of rounds that propose each of the latter.
	ConfigurationRounds int
	// DiskLosses is the number of disks that are lost, but never more than maxFailures of a configuration that is in use.
	DiskLosses int
	Restarts   int
	// SlowReads includes quorum reads whose replies are sent at different moments. All reads whose replies are sent at the
	// same moment are always included.
	SlowReads bool
	// Learning lets members learn the item from one another at any time, as readers and learners do.
	Learning bool
	// Recovery requires that in every state the remaining members can still acknowledge a write.
	Recovery bool
	// MaxStates ends an exploration that has visited so many states.
	MaxStates int
}
