package replica

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/rangesync"
)

// longestRun is how long the longest runs go on.
const longestRun = 36 * time.Second

// randomLength is how long a run goes on, by lot: most are short, and some long enough for old disks and long cuts.
func (sim *simulation) randomLength() time.Duration {
	switch sim.rng.IntN(8) {
	case 0:
		return longestRun
	case 1, 2:
		return 22 * time.Second
	}
	return 12 * time.Second
}

var groupSizes = [][2]int{{6, 2}, {9, 3}, {3, 1}, {6, 1}}

// Nothing acknowledged is lost within what withstand says; a read finds the newest acknowledged; one decision for each
// release; no two contents for one version; nobody is sent to an agent whose lease ran out; a member that came back empty
// never counts too early; all heals within sync_time once the faults end.
func TestSimulatedGroup(t *testing.T) {
	runs, _ := strconv.ParseUint(os.Getenv("REPLICA_RUNS"), 10, 64) // for long hunts, and one run with all its messages
	from, _ := strconv.ParseUint(os.Getenv("REPLICA_FROM"), 10, 64)
	var acks int
	var slowest time.Duration
	seen := map[string]int{}
	one := func(seed uint64) string {
		size := groupSizes[(seed>>2)%uint64(len(groupSizes))]
		sim := newSimulation(seed, size[0], size[1], "")
		sim.trace = runs == 1
		sim.randomizeStartup()
		sim.runScenario(sim.randomLength())
		acks += sim.ackCount
		for what, times := range sim.coverage {
			seen[what] += times
		}
		slowest = max(slowest, sim.healTime)
		return sim.failure
	}
	if runs > 0 {
		startedAt := time.Now()
		for seed := from; seed < from+runs; seed++ {
			if wrong := one(seed); wrong != "" {
				t.Errorf("seed %d: %s", seed, wrong)
			}
			if done := seed - from + 1; done%500 == 0 {
				t.Logf("%d runs so far, %d acknowledged", done, acks)
			}
		}
		t.Logf("%d runs, %.1f a second, %d acknowledged, the slowest healed in %v; seen %v", runs, float64(runs)/time.Since(startedAt).Seconds(), acks, slowest, seen)
		return
	}
	rapid.Check(t, func(t *rapid.T) {
		if wrong := one(rapid.Uint64().Draw(t, "seed")); wrong != "" {
			t.Fatal(wrong)
		}
	})
	if acks == 0 {
		t.Error("nothing was acknowledged")
	}
}

// The checks find what is planted: each mechanism, taken out, shows within so many runs, and by the check that should find it.
func TestMutationsAreDetected(t *testing.T) {
	six, three := [2]int{6, 2}, [2]int{3, 1}
	for mutation, test := range map[string]struct {
		by   string
		or   string // another check that should find it too; empty: none
		size [2]int
		long bool // runs that are long enough for what shows it
	}{
		mutationAckBeforeSync:       {by: "acknowledged", size: six},
		mutationWipedVotes:          {by: "version", size: six}, // what was acknowledged is lost
		mutationMergedDecisions:     {by: "two ends", size: six},
		mutationEndlessLease:        {by: "renewed its lease", size: six, long: true},
		mutationUnreplicatedRemoval: {by: "leaving", size: six},
		mutationReorderedWrites:     {by: "acknowledged", size: six},
		mutationRemovedVotes:        {by: "of which it is no member", size: six},
		mutationNoTakeover:          {by: "acknowledged", size: three},
		mutationOldDiskTrusted:      {by: "with a disk from the past", size: six, long: true},
		mutationNoEpochInProposals:  {by: "version", or: "two contents", size: six, long: true}, // one of two that win in turn, or both told
		mutationPageLost:            {by: "acknowledged", size: three},
	} {
		t.Run(mutation, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				sim := newSimulation(seed, test.size[0], test.size[1], mutation)
				sim.randomizeStartup()
				length := sim.randomLength()
				if test.long {
					length = longestRun
				}
				sim.runScenario(length)
				if sim.failure != "" {
					if t.Logf("found by run %d, %s", seed+1, sim.failure); !strings.Contains(sim.failure, test.by) && (test.or == "" || !strings.Contains(sim.failure, test.or)) {
						t.Error("found by another check than the one that should")
					}
					return
				}
			}
			t.Error("not found in 400 runs")
		})
	}
}

// Members that hold different versions never have one digest, as a read would then pass one by (seed 200826).
func TestSummaryDistinguishesVersions(t *testing.T) {
	seen := map[rangesync.Summary]string{}
	for a := range uint64(60) {
		for b := range uint64(60) {
			one := quorum.ProposalNumber{Number: 1}
			entries := []quorum.Entry{{Key: "item/routes/r2", Accepted: one, Value: quorum.Value{Version: b}, Chosen: true}, {Key: "item/routes/r1", Accepted: one, Value: quorum.Value{Version: a}, Chosen: true}}
			digest := func(entries []quorum.Entry) rangesync.Summary {
				return quorum.NewAcceptor(entries, quorum.ProposalNumber{}).Index().Summary(rangesync.Range{})
			}
			sum, at := digest(entries), fmt.Sprint(a, " and ", b)
			if was, taken := seen[sum]; taken {
				t.Fatalf("versions %s have the digest of %s", at, was)
			}
			seen[sum] = at
			if digest([]quorum.Entry{entries[1], entries[0]}) != sum {
				t.Fatal("the order counts")
			}
		}
	}
}
