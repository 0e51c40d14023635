package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/proxy/draining"
)

const (
	stableBuild = "v1"
	canaryBuild = "v2"
)

// releaseRegisters returns the registers of a release of service s.
func releaseRegisters(value quorum.Value) map[string]quorum.Value {
	return map[string]quorum.Value{release.RegisterKey("s"): value}
}

func startedRelease() quorum.Value {
	return release.Start(canaryBuild, 16*time.Second, start)(quorum.Value{})
}

// trialResult is the outcome of a release over several proxies.
type trialResult struct {
	votes          map[string]int // the second of the first one, by vote; at least 1
	canaryRequests float64
	requests       float64
}

// runCanary plays a release over proxies that report their counts to one another. respond says how a build answers.
func runCanary(proxyCount, seconds int, respond func(canary, loaded bool) Outcome) trialResult {
	var proxies []*Balancer
	for i := range proxyCount {
		b := New(testSettings("a1"), rand.New(rand.NewPCG(uint64(i), 5)).Float64)
		b.SetProxyCounts(proxyCount, proxyCount, start)
		b.RenewLease(start.Add(time.Hour))
		b.Configure(testTable(releaseRegisters(startedRelease())), start)
		for k := range 6 {
			b.addBackend(fmt.Sprint("old", k), "a1", stableBuild, 0, start)
			b.addBackend(fmt.Sprint("new", k), "a1", canaryBuild, 0, start)
		}
		proxies = append(proxies, b)
	}
	result := trialResult{votes: map[string]int{}}
	const ticksPerSecond = 10
	for tick := range seconds * ticksPerSecond {
		now := start.Add(time.Duration(tick) * time.Second / ticksPerSecond)
		for i, b := range proxies {
			request := b.startRequest(idempotentPath, now)
			if backend := b.Pick(request, now); backend != nil {
				loaded := b.services["s"].canary.underLoad(now)
				b.ReportOutcome(request, backend, respond(backend.Version == canaryBuild, loaded), now)
			}
			if tick%ticksPerSecond == 0 {
				exchangeTallies(proxies, i, now, result.votes)
			}
		}
	}
	for _, b := range proxies {
		tally := b.services["s"].canary.tally
		result.canaryRequests += tally.NewBuildRequests
		result.requests += tally.ServiceRequests
	}
	return result
}

// exchangeTallies reports a proxy's tallies to the others, and records its vote.
func exchangeTallies(proxies []*Balancer, reporter int, now time.Time, votes map[string]int) {
	for _, tally := range proxies[reporter].Tallies(fmt.Sprint(reporter), now) {
		for i, other := range proxies {
			if i != reporter {
				other.UpdateTally(fmt.Sprint("s/", reporter), tally)
			}
		}
		if tally.Vote != "" && votes[tally.Vote] == 0 {
			votes[tally.Vote] = max(1, int(now.Sub(start)/time.Second))
		}
	}
}

// Bad builds of each kind are voted to revert, good ones to finish and not to revert; the canary's share stays within
// the cap.
func TestCanaryVotes(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	slow := succeeded
	slow.Latency = 2 * time.Second
	half := func(failed bool, failure Outcome) Outcome {
		if failed && rng.IntN(2) == 0 {
			return failure
		}
		return succeeded
	}
	for name, test := range map[string]struct {
		respond    func(canary, loaded bool) Outcome
		want       string
		mayBeVoted string // a vote that does not fail the test
	}{
		"good": {
			respond: func(bool, bool) Outcome { return succeeded },
			want:    release.VoteFinish,
		},
		"fails half": {
			respond: func(canary, _ bool) Outcome { return half(canary, serverError) },
			want:    release.VoteRevert,
		},
		"slow": {
			respond: func(canary, _ bool) Outcome { return half(canary, slow) },
			want:    release.VoteRevert,
		},
		"fails under load": {
			respond: func(canary, loaded bool) Outcome { return half(canary && loaded, serverError) },
			want:    release.VoteRevert,
		},
		"all builds are slow": {
			respond:    func(bool, bool) Outcome { return slow },
			mayBeVoted: release.VoteFinish,
		},
	} {
		result := runCanary(12, 15, test.respond)
		if result.canaryRequests > 0.1*result.requests+50 {
			t.Errorf("%s: %v of %v requests went to the canary", name, result.canaryRequests, result.requests)
		}
		for _, vote := range []string{release.VoteFinish, release.VoteRevert} {
			cast := result.votes[vote] > 0
			if cast != (vote == test.want) && vote != test.mayBeVoted {
				t.Errorf("%s: vote %s at %d s", name, vote, result.votes[vote])
			}
		}
	}
}

// After its end a release binds: a build that was reverted gets nothing, the earlier one nothing once the new one is
// the stable build, and a build that no release has named gets nothing beside the stable one.
func TestBuildsAfterReleaseEnds(t *testing.T) {
	wantBuilds := map[release.Phase]string{release.PhaseReverted: stableBuild, release.PhaseFinished: canaryBuild}
	for phase, want := range wantBuilds {
		b := newTestBalancer("a1", releaseRegisters(startedRelease()))
		b.addBackend("old", "a1", stableBuild, 0, start)
		b.addBackend("new", "a1", canaryBuild, 0, start)
		b.Configure(testTable(releaseRegisters(release.End(1, phase)(startedRelease()))), start)
		b.addBackend("odd", "a1", "v3", 0, start)
		for range 3 {
			if backend := b.pickFor(idempotentPath, start); backend == nil || backend.Version != want {
				t.Errorf("%s: %v", phase, backend)
			}
		}
	}
}

// The stable build is that of most backends, in whatever order they are reported: the first may be of a build whose
// release has yet to start. Taken for the stable one, it would get all requests.
func TestStableBuildIsTheMostCommon(t *testing.T) {
	b := newTestBalancer("a1", nil)
	for i, build := range []string{canaryBuild, stableBuild, stableBuild, stableBuild} {
		b.addBackend(fmt.Sprint("i", i), "a1", build, 0, start)
	}
	b.Configure(testTable(releaseRegisters(startedRelease())), start)
	for id, backend := range b.backends {
		if backend.Drain.State() != draining.Serving {
			t.Errorf("%s is %v: %v", id, backend.Drain.State(), backend.Drain.Reasons())
		}
	}
	toStable := 0
	for range 9 {
		if backend := b.pickFor(idempotentPath, start); backend != nil && backend.Version == stableBuild {
			toStable++
		}
	}
	if toStable < 4 { // the others are the canary's allowance
		t.Errorf("%d of 9 requests went to the stable build", toStable)
	}
}
