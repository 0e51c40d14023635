package delivery

import (
	"testing"
	"time"
)

// What a caller does tells whether it has received its answer.
func TestJudge(t *testing.T) {
	arrivedAfter := time.UnixMilli(1_000_000)
	for _, tt := range []struct {
		name string
		seen Observation
		age  time.Duration
		want Verdict
	}{
		{"another request at once", Observation{Action: Reused}, 10 * time.Millisecond, Received},
		{"another request later", Observation{Action: Reused}, ObservationTime - time.Millisecond, Received},
		{"closed at once", Observation{Action: Closed}, 10 * time.Millisecond, ReceivedUnlessRepeated},
		{"reset at once", Observation{Action: Reset}, 10 * time.Millisecond, ReceivedUnlessRepeated},
		{"closed before the silence ends", Observation{Action: Closed}, silenceTime - time.Millisecond, ReceivedUnlessRepeated},
		{"closed after silence", Observation{Action: Closed}, silenceTime, Lost},
		{"reset after silence", Observation{Action: Reset}, time.Second, Lost},
		{"closed unseen during a suspension", Observation{Action: Closed}, 5 * time.Second, Lost},
		{"kept open", Observation{Action: KeptOpen}, ObservationTime, Received},
		{"kept open, not confirmed", Observation{Action: KeptOpen, Unconfirmed: true}, ObservationTime, Lost},
		{"observed too briefly", Observation{Action: KeptOpen}, ObservationTime - time.Millisecond, Lost},
	} {
		tt.seen.At = arrivedAfter.Add(tt.age)
		if got := Judge(arrivedAfter, tt.seen); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A repetition is expected within a pause that grows with each copy, and longer if the end of the connection is more likely
// that of a caller without an answer. Other orders half a second after the first one are not taken for it.
func TestRepeatTime(t *testing.T) {
	const nextOrder = 500 * time.Millisecond
	arrivedAfter := time.UnixMilli(1_000_000)
	repeatTime := func(action Action, age, commitTime time.Duration, copies int) time.Duration {
		return RepeatTime(arrivedAfter, Observation{Action: action, At: arrivedAfter.Add(age)}, commitTime, copies)
	}
	if got := repeatTime(Closed, 0, 0, 0); got < 2*firstRepeatPause || got >= nextOrder {
		t.Errorf("a repetition is expected within %v, want less than %v", got, nextOrder)
	}
	pause := firstRepeatPause
	for copies := range 8 {
		closed := repeatTime(Closed, 0, 0, copies)
		if closed <= pause || closed > 2*maxRepeatPause+minRecordTime {
			t.Errorf("after %d copies, a repetition is expected within %v", copies, closed)
		}
		for name, got := range map[string]time.Duration{
			"reset":       repeatTime(Reset, 0, 0, copies),
			"closed late": repeatTime(Closed, MaxAnswerTime, 0, copies),
		} {
			if got < closed || got < unlikelyRepeatTime {
				t.Errorf("%s after %d copies: a repetition is expected within %v", name, copies, got)
			}
		}
		if got := repeatTime(Closed, 0, time.Hour, copies) - closed; got != maxRecordTime-minRecordTime {
			t.Errorf("a slow group has %v more", got)
		}
		pause = min(2*pause, maxRepeatPause)
	}
}
