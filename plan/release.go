package plan

import (
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/quorum"
)

const releaseKey = "release/"

// ReleaseKey is the register of a service's release.
func ReleaseKey(service string) string { return releaseKey + service }

// Phases of a release, in the protocol's words.
const (
	InService = "in_service"
	Finished  = "finished"
	Reverted  = "reverted"
)

// Release is the state of a service's release.
//
//easyjson:json
type Release struct {
	Target string `json:"target"`
	Phase  string `json:"phase"`
	OverMs int64  `json:"over"`
	Began  int64  `json:"began"` // Unix milliseconds at the agent that took the order
	Number uint64 `json:"number"`
}

// Order is a releases.begin call.
//
//easyjson:json
type Order struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Over    string `json:"over"`
}

// Begin orders a release. One to the same target in the same time that is under way goes on; in the place of any other a new
// one begins.
func Begin(target string, over time.Duration, now time.Time) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		r, any := ReadRelease(held)
		if any && r.Phase == InService && r.Target == target && r.OverMs == over.Milliseconds() {
			return held
		}
		next := &Release{Target: target, Phase: InService, OverMs: over.Milliseconds(), Began: now.UnixMilli(), Number: r.Number + 1}
		return quorum.Value{Version: held.Version + 1, Body: next.text(), Note: held.Note}
	}
}

// BeginOnce is Begin for an order that may be one sent again: the same target in the same time, within the term.
func BeginOnce(target string, over time.Duration, now time.Time, term time.Duration) quorum.Change {
	order := over.String() + " " + target
	return Once(order, now, term, Begin(target, over, now))
}

// Decide ends a release that is under way. One that is decided stays as it is, so that of two decisions that race the
// register keeps one.
func Decide(number uint64, phase string) quorum.Change {
	return func(held quorum.Value) quorum.Value {
		r := &Release{}
		if held.Body == "" || easyjson.Unmarshal([]byte(held.Body), r) != nil || r.Number != number || r.Phase != InService {
			return held
		}
		r.Phase = phase
		return quorum.Value{Version: held.Version + 1, Body: r.text(), Note: held.Note}
	}
}

func (r *Release) text() string {
	b, _ := easyjson.Marshal(r) // texts and whole numbers only: it cannot fail
	return string(b)
}

// ReadRelease reads a release's register.
func ReadRelease(v quorum.Value) (*Release, bool) {
	r := &Release{}
	return r, v.Body != "" && easyjson.Unmarshal([]byte(v.Body), r) == nil
}
