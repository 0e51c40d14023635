package server

import (
	"strings"
	"testing"
	"time"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
	"sagelever/internal/control/release"
	"sagelever/internal/control/replication"
)

// wantRelease waits until the release of service s has the given phase and target version.
func (c *testCluster) wantRelease(phase release.Phase, target string) {
	c.t.Helper()
	waitUntil(c.t, string(phase)+" "+target, func() bool {
		text := c.mustCall(1, "releases.read&of=s", "")
		return strings.Contains(text, string(phase)) && strings.Contains(text, target)
	})
}

// A release that has ended starts again when it is ordered again. A repetition of the order within the resend window
// has no effect, also if another release was ordered in between.
func TestRepeatedReleaseOrder(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	order := func(i int, target string) {
		t.Helper()
		cluster.mustCall(i, "releases.begin", releaseBody(target))
	}
	order(0, "v2")
	member := cluster.running[0]
	member.step(func(now time.Time) {
		end := map[string]quorum.UpdateFunc{release.RegisterKey("s"): release.End(1, release.PhaseReverted)}
		member.replica.Write(now, now.Add(callTimeout), end)
	})
	cluster.wantRelease(release.PhaseReverted, "v2")
	order(1, "v2")
	cluster.wantRelease(release.PhaseReverted, "v2")
	order(2, "v3")
	order(0, "v2")
	cluster.wantRelease(release.PhaseInService, "v3")
	cluster.clockOffset.Store(int64(dedup.ResendWindow(0) + time.Second))
	for i := range memberCount {
		cluster.awaitReady(i)
	}
	order(1, "v2")
	cluster.wantRelease(release.PhaseInService, "v2")
}

// A decided release stays decided after later votes and a restart of the member that has recorded the decision.
func TestReleaseEndsOnce(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "releases.begin", releaseBody("v2"))
	cluster.mustCall(1, "releases.begin", releaseBody("v2"))
	vote := func(i int, proxy, verdict string) {
		member := cluster.running[i]
		tally := &replication.ReleaseTally{Reporter: proxy, ReleaseNumber: 1, Vote: verdict}
		member.step(func(now time.Time) {
			member.replica.MergeTallies(now, []replication.Item{tally.Item("s", 1)})
		})
	}
	vote(0, "r1", release.VoteRevert)
	cluster.wantRelease(release.PhaseReverted, "v2")
	vote(1, "r2", release.VoteFinish)
	vote(1, "r3", release.VoteFinish)
	cluster.stop(0)
	cluster.start(0, false)
	cluster.awaitReady(0)
	for i := range memberCount {
		if text := cluster.mustCall(i, "releases.read&of=s", ""); !strings.Contains(text, string(release.PhaseReverted)) {
			t.Errorf("member %d: %s", i, text)
		}
	}
}

// An order that is repeated at the end of the allowed time is recognized as a repetition by a member whose clock
// differs by the allowed skew, in either direction. Beyond these limits, the order may be treated as a new one.
func TestResendWindowWithClockSkew(t *testing.T) {
	t.Parallel()
	const confirmTimeout = 6 * time.Second
	received := time.UnixMilli(1_000_000_000)
	window := dedup.ResendWindow(confirmTimeout)
	started := release.StartOnce("v2", time.Second, received, window)(quorum.Value{})
	ended := release.End(1, release.PhaseReverted)(started)
	for _, tt := range []struct {
		name       string
		after      time.Duration // time from the order to its repetition
		skew       time.Duration // clock skew of the member that receives the repetition
		wantNumber uint64        // of the resulting release: 1 for a repetition, 2 for a new order
	}{
		{"late, fast clock", confirmTimeout - time.Millisecond, dedup.MaxClockSkew, 1},
		{"at once, slow clock", 0, -dedup.MaxClockSkew, 1},
		{"late, same clock", confirmTimeout, 0, 1},
		{"too late, fast clock", confirmTimeout + time.Millisecond, dedup.MaxClockSkew, 2},
		{"at once, clock too slow", 0, -dedup.MaxClockSkew - confirmTimeout, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			repeated := release.StartOnce("v2", time.Second, received.Add(tt.after+tt.skew), window)(ended)
			got, _ := release.Read(repeated)
			if got.Number != tt.wantNumber {
				t.Errorf("release %d, want %d", got.Number, tt.wantNumber)
			}
		})
	}
}
