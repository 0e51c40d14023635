package release

import (
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

const RegisterKeyPrefix = "release/"

// RegisterKey is the register of a service's release.
func RegisterKey(service string) string { return RegisterKeyPrefix + service }

// Phases of a release, in the protocol's words.
const (
	PhaseInService = "in_service"
	PhaseFinished  = "finished"
	PhaseReverted  = "reverted"
)

// Release is the state of a service's release.
//
//easyjson:json
type Release struct {
	Target     string `json:"target"`
	Phase      string `json:"phase"`
	DurationMs int64  `json:"over"`
	StartedMs  int64  `json:"began"` // Unix milliseconds at the agent that took the order
	Number     uint64 `json:"number"`
}

// StartRequest is a releases.begin call.
//
//easyjson:json
type StartRequest struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Duration string `json:"over"`
}

// Start orders a release. One to the same target in the same time that is under way goes on; in the place of any other a new
// one begins.
func Start(target string, duration time.Duration, now time.Time) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		release, exists := Read(current)
		if exists && release.Phase == PhaseInService && release.Target == target && release.DurationMs == duration.Milliseconds() {
			return current
		}
		next := &Release{Target: target, Phase: PhaseInService, DurationMs: duration.Milliseconds(), StartedMs: now.UnixMilli(), Number: release.Number + 1}
		return quorum.Value{Version: current.Version + 1, Body: next.encode(), Annotation: current.Annotation}
	}
}

// StartOnce is Begin for an order that may be one sent again: the same target in the same time, within the term.
func StartOnce(target string, duration time.Duration, now time.Time, window time.Duration) quorum.UpdateFunc {
	order := duration.String() + " " + target
	return dedup.ApplyOnce(order, now, window, Start(target, duration, now))
}

// End ends a release that is under way. One that is decided stays as it is, so that of two decisions that race the
// register keeps one.
func End(number uint64, phase string) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		release := &Release{}
		if current.Body == "" || easyjson.Unmarshal([]byte(current.Body), release) != nil || release.Number != number || release.Phase != PhaseInService {
			return current
		}
		release.Phase = phase
		return quorum.Value{Version: current.Version + 1, Body: release.encode(), Annotation: current.Annotation}
	}
}

func (r *Release) encode() string {
	body, _ := easyjson.Marshal(r) // texts and whole numbers only: it cannot fail
	return string(body)
}

// Read reads a release's register.
func Read(value quorum.Value) (*Release, bool) {
	release := &Release{}
	return release, value.Body != "" && easyjson.Unmarshal([]byte(value.Body), release) == nil
}
