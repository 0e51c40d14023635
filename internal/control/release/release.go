// Package release is the gradual release of a new build of a service: its state in a register that a round of the
// quorum decides (package quorum), the updates that start and end it, and the count of the proxies' votes. It does no
// I/O; clocks are handed in.
package release

import (
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// RegisterKeyPrefix begins the key of every register that holds a release.
const RegisterKeyPrefix = "release/"

// RegisterKey returns the key of the register that holds the release of a service.
func RegisterKey(service string) string { return RegisterKeyPrefix + service }

// Phase is how far a release has come, in the protocol's words. The empty Phase stands for none.
type Phase string

// Phases of a release.
const (
	PhaseInService Phase = "in_service" // it is under way
	PhaseFinished  Phase = "finished"   // the target has replaced the old build
	PhaseReverted  Phase = "reverted"   // the old build has all traffic again
)

// Release is the state of a service's release.
//
//easyjson:json
type Release struct {
	Target     string `json:"target"` // the version of the new build
	Phase      Phase  `json:"phase"`
	DurationMs int64  `json:"over"`   // over which the share of the new build rises
	StartedMs  int64  `json:"began"`  // Unix milliseconds, by the clock of the controller that received the order
	Number     uint64 `json:"number"` // counts the releases of the service, from 1
}

// StartRequest is the body of a releases.begin call.
//
//easyjson:json
type StartRequest struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Duration string `json:"over"`
}

// Start returns the update that starts a release. One to the same target over the same duration that is under way
// continues; any other is replaced.
func Start(target string, duration time.Duration, now time.Time) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		release, exists := Read(current)
		if exists && release.isUnderWay(target, duration) {
			return current
		}
		next := &Release{
			Target:     target,
			Phase:      PhaseInService,
			DurationMs: duration.Milliseconds(),
			StartedMs:  now.UnixMilli(),
			Number:     release.Number + 1,
		}
		return next.replace(current)
	}
}

// StartOnce is Start for an order that may be a copy of an earlier one: an order with the same target and duration
// within the window changes nothing, even if another release was started since.
func StartOnce(target string, duration time.Duration, now time.Time, window time.Duration) quorum.UpdateFunc {
	order := duration.String() + " " + target
	return dedup.ApplyOnce(order, now, window, Start(target, duration, now))
}

// End returns the update that ends the release with a number, in a phase. A release that has already ended stays as it
// is, so that of two decisions that race the first is kept.
func End(number uint64, phase Phase) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		release, exists := Read(current)
		if !exists || release.Number != number || release.Phase != PhaseInService {
			return current
		}
		release.Phase = phase
		return release.replace(current)
	}
}

// Read returns the release in a register, and whether there is one that can be read. The release is never nil.
func Read(value quorum.Value) (*Release, bool) {
	release := &Release{}
	if value.Body == "" {
		return release, false
	}
	err := easyjson.Unmarshal([]byte(value.Body), release)
	return release, err == nil
}

func (r *Release) isUnderWay(target string, duration time.Duration) bool {
	return r.Phase == PhaseInService && r.Target == target && r.DurationMs == duration.Milliseconds()
}

// replace returns the next value of the register, with this release.
func (r *Release) replace(current quorum.Value) quorum.Value {
	body, _ := easyjson.Marshal(r) // strings and integers always encode
	return quorum.Value{Version: current.Version + 1, Body: string(body), Annotation: current.Annotation}
}
