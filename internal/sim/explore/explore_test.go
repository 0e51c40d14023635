package explore

import (
	"os"
	"testing"
	"time"
)

// largeVariable is the environment variable that enables the exploration of the large instances, which takes minutes.
const largeVariable = "EXPLORE_LARGE"

// Limits on the number of visited states.
const (
	maxStates      = 2_000_000
	maxLargeStates = 30_000_000
)

var (
	replaceOne = []Configuration{
		{Epoch: 1, Members: []int{0, 1, 2}},
		{Epoch: 2, Members: []int{0, 1, 3}},
	}
	competingConfigurations = []Configuration{
		{Epoch: 1, Members: []int{0, 1, 2}},
		{Epoch: 2, Members: []int{0, 1, 3}},
		{Epoch: 2, Members: []int{0, 2, 3}},
	}
	growThenShrink = []Configuration{
		{Epoch: 1, Members: []int{0, 1, 2}},
		{Epoch: 2, Members: []int{0, 1, 2, 3}},
		{Epoch: 3, Members: []int{0, 1, 3}},
	}
	removeThenReturn = []Configuration{
		{Epoch: 1, Members: []int{0, 1, 2}},
		{Epoch: 2, Members: []int{0, 1, 3}},
		{Epoch: 3, Members: []int{0, 2, 3}},
	}

	sameVersion        = []Write{{Version: 1, Content: "X"}, {Version: 1, Content: "Y"}}
	ascendingVersions  = []Write{{Version: 1, Content: "X"}, {Version: 2, Content: "Y"}}
	descendingVersions = []Write{{Version: 2, Content: "X"}, {Version: 1, Content: "Y"}}
	oneWrite           = sameVersion[:1]
)

func smallBounds() Bounds {
	return Bounds{
		Writes:              sameVersion,
		WriteRounds:         1,
		Configurations:      replaceOne,
		ConfigurationRounds: 1,
		DiskLosses:          1,
		Restarts:            1,
		MaxStates:           maxStates,
	}
}

// threeEpochBounds returns bounds with one write and a member that is removed and returns.
func threeEpochBounds() Bounds {
	return Bounds{
		Writes:              oneWrite,
		WriteRounds:         1,
		Configurations:      removeThenReturn,
		ConfigurationRounds: 1,
		DiskLosses:          1,
		Recovery:            true,
		MaxStates:           maxStates,
	}
}

func skipUnlessLarge(t *testing.T) {
	t.Helper()
	if os.Getenv(largeVariable) == "" {
		t.Skip("takes minutes; set " + largeVariable)
	}
}

func mustExplore(t *testing.T, b Bounds, fault Fault) Result {
	t.Helper()
	started := time.Now()
	r, err := Explore(b, fault, NewReference(fault))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("fault: %s; %.1f s; %s", fault, time.Since(started).Seconds(), r)
	return r
}

// checkNoViolation checks that an exploration is complete and finds no violation.
func checkNoViolation(t *testing.T, r Result) {
	t.Helper()
	if r.Violation != "" || !r.Complete {
		t.Error(r)
	}
}

func TestNoViolation(t *testing.T) {
	for name, writes := range map[string][]Write{
		"same version":        sameVersion,
		"ascending versions":  ascendingVersions,
		"descending versions": descendingVersions,
	} {
		t.Run(name, func(t *testing.T) {
			b := smallBounds()
			b.Writes = writes
			r := mustExplore(t, b, NoFault)
			checkNoViolation(t, r)
			if r.Acknowledged[1] == 0 || r.Acknowledged[2] == 0 {
				t.Error("no write was acknowledged in one of the epochs, so the exploration proves nothing about it: ", r)
			}
		})
	}
}

// The remaining members can recover from every state of two instances. In the first one, a second disk is lost
// immediately after the old configuration is no longer in use. In the second one, a disk is lost between two
// consecutive changes of the configuration.
func TestMembersRecover(t *testing.T) {
	twoLosses := smallBounds()
	twoLosses.DiskLosses = 2
	twoLosses.Recovery = true
	for _, b := range []Bounds{twoLosses, threeEpochBounds()} {
		checkNoViolation(t, mustExplore(t, b, NoFault))
	}
}

// Each injected fault is detected in the small instance or in one chosen for the fault.
func TestInjectedFaultsAreDetected(t *testing.T) {
	twoLosses := smallBounds()
	twoLosses.DiskLosses = 2
	threeEpochs := threeEpochBounds()
	threeEpochs.DiskLosses = 0
	threeEpochs.Recovery = false
	withRecovery := smallBounds()
	withRecovery.Recovery = true
	bounds := map[Fault]Bounds{
		EarlyRetirement:             twoLosses,
		StaleFetchCounts:            threeEpochs,
		SealedRejectsConfigurations: withRecovery,
		SkipsEpoch:                  threeEpochs,
		NewestEpochOnly:             threeEpochBounds(),
	}
	for fault := NoSealing; fault < MergeDropsOwnState; fault++ {
		b, ok := bounds[fault]
		if !ok {
			b = smallBounds()
		}
		if r := mustExplore(t, b, fault); r.Violation == "" {
			t.Error("fault is not detected: ", fault)
		}
	}
}

// Two variants of the design are also safe, as argued in docs/model.md.
func TestSafeVariants(t *testing.T) {
	skipUnlessLarge(t)
	for _, variant := range []Fault{MergeDropsOwnState, MergeByVersionThenProposal} {
		for _, writes := range [][]Write{sameVersion, ascendingVersions, descendingVersions} {
			b := smallBounds()
			b.Writes = writes
			checkNoViolation(t, mustExplore(t, b, variant))
		}
	}
}

// instance is an instance that is explored only if largeVariable is set.
type instance struct {
	name   string
	bounds Bounds
}

// largeInstances returns instances with one round of each write and each configuration, unless specified otherwise.
func largeInstances() []instance {
	instances := []instance{
		{"two losses",
			Bounds{Writes: sameVersion, Configurations: replaceOne, DiskLosses: 2, Restarts: 1}},
		{"slow reads, loss",
			Bounds{Writes: sameVersion, Configurations: replaceOne, DiskLosses: 1, SlowReads: true}},
		{"slow reads, learning",
			Bounds{Writes: ascendingVersions, Configurations: replaceOne, SlowReads: true, Learning: true}},
		{"learning, two losses",
			Bounds{Writes: sameVersion, Configurations: replaceOne, DiskLosses: 2, Learning: true}},
		{"two rounds for the configuration",
			Bounds{Writes: sameVersion, Configurations: replaceOne, ConfigurationRounds: 2, DiskLosses: 1}},
		{"competing configurations",
			Bounds{Writes: sameVersion, Configurations: competingConfigurations, DiskLosses: 1}},
		{"grow, then shrink, two writes, no loss",
			Bounds{Writes: sameVersion, Configurations: growThenShrink}},
		{"grow, then shrink",
			Bounds{Writes: sameVersion, Configurations: growThenShrink, DiskLosses: 1}},
		{"recovery of competing configurations",
			Bounds{Writes: sameVersion, Configurations: competingConfigurations, DiskLosses: 1, Recovery: true}},
		{"recovery, two rounds for the configuration",
			Bounds{Writes: sameVersion, Configurations: replaceOne, ConfigurationRounds: 2, DiskLosses: 2, Recovery: true}},
		{"grow, then shrink, one write",
			Bounds{Writes: oneWrite, Configurations: growThenShrink, DiskLosses: 1, Restarts: 1}},
		{"remove, then return, one write",
			Bounds{Writes: oneWrite, Configurations: removeThenReturn, DiskLosses: 1, Restarts: 1}},
		{"remove, then return, one write, recovery, two losses",
			Bounds{Writes: oneWrite, Configurations: removeThenReturn, DiskLosses: 2, Recovery: true}},
		{"grow, then shrink, one write, recovery",
			Bounds{Writes: oneWrite, Configurations: growThenShrink, DiskLosses: 2, Recovery: true}},
		{"remove, then return",
			Bounds{Writes: sameVersion, Configurations: removeThenReturn, DiskLosses: 1}},
		{"two rounds for each write",
			Bounds{Writes: sameVersion, WriteRounds: 2, Configurations: replaceOne}},
		{"two rounds for each write, ascending versions",
			Bounds{Writes: ascendingVersions, WriteRounds: 2, Configurations: replaceOne}},
	}
	for i := range instances {
		b := &instances[i].bounds
		b.MaxStates = maxLargeStates
		b.WriteRounds = max(1, b.WriteRounds)
		b.ConfigurationRounds = max(1, b.ConfigurationRounds)
	}
	return instances
}

// The large instances have no violation in the states that are explored. The log of each says whether it was complete.
func TestLargeInstances(t *testing.T) {
	skipUnlessLarge(t)
	for _, instance := range largeInstances() {
		t.Run(instance.name, func(t *testing.T) {
			if r := mustExplore(t, instance.bounds, NoFault); r.Violation != "" {
				t.Error(r)
			}
		})
	}
}
