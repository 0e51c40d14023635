package proxy

import (
	"testing"
	"time"
)

// Guards against requests that end before the last sixth of a long grace period: their backends may work until then. The
// schedule leaves time for the answers and the exit, whatever the grace period is.
func TestShutdownScheduleUsesGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{600 * time.Millisecond, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		schedule := newShutdownSchedule(grace)
		deadline := schedule.notice + schedule.requests.Drain
		exit := deadline + schedule.requests.Answers
		if deadline < grace*5/6 || exit > grace*19/20 || schedule.notice > maxDrainNotice {
			t.Errorf("grace period %v: notice %v, deadline %v, exit %v", grace, schedule.notice, deadline, exit)
		}
	}
	if schedule := newShutdownSchedule(6 * time.Second); schedule.notice+schedule.requests.Drain != 5300*time.Millisecond {
		t.Errorf("with a grace period of 6 s the deadline is at %v, want 5.3 s", schedule.notice+schedule.requests.Drain)
	}
}
