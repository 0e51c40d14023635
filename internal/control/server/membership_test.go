package server

import (
	"strings"
	"testing"

	"sagelever/internal/control/message"
)

// A candidate that has caught up with the member that it may replace is not a member yet. Two of three members confirm
// a version. The third member and the candidate, which have not received it, must not confirm or serve anything on
// their own. Versions without a membership configuration served the previous version as the newest, and confirmed
// another one.
func TestCandidateIsNotMember(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(0, "settings.change", changeBody("00000005", "five.example"))
	cluster.start(spareMember, false)
	cluster.awaitCandidate(0)
	cluster.stop(1)
	cluster.stop(spareMember)
	cluster.mustCall(0, "settings.change", changeBody("00000008", "eight.example"))
	cluster.stop(0)
	cluster.stop(2)
	cluster.start(1, false)
	cluster.start(spareMember, false)
	for _, i := range []int{1, spareMember} {
		cluster.wantUnavailable(i, "settings.read", "")
		cluster.wantUnavailable(i, "settings.change", changeBody("0000000a", "ten.example"))
	}
	cluster.start(0, false)
	if text := cluster.mustCall(1, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("a version confirmed by two members is lost: %s", text)
	}
}

// A member that shuts down while a candidate is ready is replaced by the candidate. Acknowledged changes are preserved.
// After a restart, the old member receives the new configuration, is no longer a member and accepts no orders.
func TestMemberReplacedOnShutdown(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	cluster.mustCall(2, "settings.change", changeBody("00000005", "five.example"))
	cluster.start(spareMember, false)
	cluster.awaitCandidate(2)
	cluster.stop(2)
	waitUntil(t, "the replacement and the remaining members are active", func() bool {
		return cluster.running[spareMember].active() && cluster.running[0].active() && cluster.running[1].active()
	})
	cluster.mustCall(spareMember, "settings.change", changeBody("00000008", "eight.example"))
	cluster.start(2, false)
	waitUntil(t, "the old member has the new configuration", func() bool { return cluster.running[2].epoch() == 2 })
	cluster.wantUnavailable(2, "settings.change", changeBody("0000000a", "ten.example"))
	if cluster.running[2].active() {
		t.Error("a member that was replaced is active")
	}
	prepare := &message.PeerRequest{Epoch: 1, Keys: []string{"k"}}
	response, err := cluster.running[2].handleRequest(t.Context(), message.PreparePath, prepare)
	if err == nil && response.OK {
		t.Error("a member that was replaced gives a promise")
	}
	cluster.stop(0) // the group tolerates a loss right after the replacement
	if text := cluster.mustCall(1, "settings.read", ""); !strings.Contains(text, "eight.example") {
		t.Errorf("after the replacement and a loss: %s", text)
	}
}

// A member that does not reach any other member responds 503, so that its callers try another controller.
func TestLoneMemberIsUnavailable(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.start(0, true)
	for _, call := range []struct{ query, body string }{
		{"settings.change", changeBody("00000007", "a.example")},
		{"settings.read", ""},
		{"servers.pulse&of=i1", heartbeatBody(1, "ready")},
		{"clear_out.begin&of=a1", ""},
	} {
		cluster.wantUnavailable(0, call.query, call.body)
	}
}
