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

// releaseRegisters returns the register of a release of service s.
func releaseRegisters(value quorum.Value) map[string]quorum.Value {
	return map[string]quorum.Value{release.RegisterKey("s"): value}
}

// startedDuration is the duration of a startedRelease.
const startedDuration = 16 * time.Second

func startedRelease() quorum.Value {
	return release.Start(canaryBuild, startedDuration, start)(quorum.Value{})
}

// canaryResult is the result of a simulated release over several proxies.
type canaryResult struct {
	votes          map[string]int // when each vote was first cast, in seconds since the start; at least 1
	canaryRequests float64
	requests       float64
}

// runCanary simulates a release over proxies that exchange their tallies. respond returns the outcome of an attempt:
// canary is whether it goes to the canary, loaded whether the canary is in its load phase.
func runCanary(proxyCount, seconds int, respond func(canary, loaded bool) Outcome) canaryResult {
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
	result := canaryResult{votes: map[string]int{}}
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

// exchangeTallies sends a proxy's tallies to the others and records when its vote was first cast.
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

// The proxies vote to revert every kind of bad build, and to finish a good one without a vote to revert it. The
// canary's requests stay within the cap.
func TestCanaryVotes(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	slow := succeeded
	slow.Latency = 2 * time.Second
	half := func(bad bool, failure Outcome) Outcome {
		if bad && rng.IntN(2) == 0 {
			return failure
		}
		return succeeded
	}
	for name, test := range map[string]struct {
		respond  func(canary, loaded bool) Outcome
		want     string
		optional string // a vote that may be cast but need not be
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
			respond:  func(bool, bool) Outcome { return slow },
			optional: release.VoteFinish,
		},
	} {
		result := runCanary(12, 15, test.respond)
		if result.canaryRequests > 0.1*result.requests+50 {
			t.Errorf("%s: %v of %v requests went to the canary", name, result.canaryRequests, result.requests)
		}
		for _, vote := range []string{release.VoteFinish, release.VoteRevert} {
			cast := result.votes[vote] > 0
			if cast != (vote == test.want) && vote != test.optional {
				t.Errorf("%s: vote %s first cast at %d s (0: never)", name, vote, result.votes[vote])
			}
		}
	}
}

// Guards against a build that fails three in a hundred of its requests and is voted to finish
// (docs/incidents/failures-within-the-margin.md): failures are evidence by themselves, without the margin that slow responses
// call for.
func TestVoteOnFailures(t *testing.T) {
	for _, test := range []struct {
		name                   string
		canary, canaryFailures float64
		stable, stableFailures float64
		want                   string
	}{
		{name: "no failures", canary: 240, stable: 2340, stableFailures: 4, want: release.VoteFinish},
		{name: "as many as the stable build", canary: 240, canaryFailures: 1, stable: 2340, stableFailures: 10, want: release.VoteFinish},
		{name: "two, which is little for a bad build", canary: 240, canaryFailures: 2, stable: 2340, stableFailures: 4},
		{name: "seven", canary: 240, canaryFailures: 7, stable: 2340, stableFailures: 4},
		{name: "three in a hundred", canary: 440, canaryFailures: 13, stable: 4400, stableFailures: 4, want: release.VoteRevert},
		{name: "three in a hundred of both", canary: 440, canaryFailures: 13, stable: 4400, stableFailures: 132, want: release.VoteFinish},
	} {
		b := New(testSettings("a1"), rand.New(rand.NewPCG(1, 5)).Float64)
		b.SetProxyCounts(12, 12, start)
		b.Configure(testTable(releaseRegisters(startedRelease())), start)
		canary := b.services["s"].canary
		canary.tally.Attempts = [2]float64{test.stable, test.canary}
		canary.tally.Failures = [2]float64{test.stableFailures, test.canaryFailures}
		canary.tally.Rewards = [2]float64{test.stable - test.stableFailures, test.canary - test.canaryFailures}
		canary.tally.NewBuildRequests = test.canary
		canary.tally.ServiceRequests = test.stable + test.canary
		canary.tally.SingleBackend = [2]float64{test.canary / 3, test.canary / 3}
		inFinishWindow := start.Add(startedDuration * 7 / 10)
		if got := b.vote("s", canary, "self", inFinishWindow); got != test.want {
			t.Errorf("%s: vote %q, want %q", test.name, got, test.want)
		}
	}
}

// After a release has ended, only the stable build gets requests: the former one if the release was reverted, the new
// one if it was finished. A build that was never part of a release gets none.
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
				t.Errorf("%s: the request goes to the wrong backend: %v", phase, backend)
			}
		}
	}
}

// The stable build is the one of most backends, in whatever order they are reported. The first reported backend may
// have a build whose release has not started yet; if that were taken as the stable build, it would get all requests.
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
	if toStable < 4 { // the remaining requests are the canary's allowance
		t.Errorf("%d of 9 requests went to the stable build", toStable)
	}
}
