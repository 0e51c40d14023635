// Package release implements the gradual release of a new build of a service: its state, which is stored in a
// replicated register (package quorum), the updates that start and end a release, and the count of the proxies' votes.
// The package does no I/O; callers pass the current time.
package release

import (
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/dedup"
	"sagelever/internal/control/quorum"
)

//go:generate go tool easyjson $GOFILE

// RegisterKeyPrefix is the prefix of the keys of registers that store releases.
const RegisterKeyPrefix = "release/"

// RegisterKey returns the key of the register that stores the release of a service.
func RegisterKey(service string) string { return RegisterKeyPrefix + service }

// Phase is the phase of a release, as named in the protocol. It is empty if there is no release.
type Phase string

// Phases of a release.
const (
	PhaseInService Phase = "in_service" // in progress
	PhaseFinished  Phase = "finished"   // the target has replaced the old build
	PhaseReverted  Phase = "reverted"   // the old build has all traffic again
)

// Release is the state of a service's release.
//
//easyjson:json
type Release struct {
	Target     string `json:"target"` // the version of the new build
	Phase      Phase  `json:"phase"`
	DurationMs int64  `json:"over"`   // duration of the increase of the new build's share
	StartedMs  int64  `json:"began"`  // Unix milliseconds, by the clock of the controller that received the order
	Number     uint64 `json:"number"` // of the release among those of the service, from 1
}

// StartRequest is the body of a releases.begin call.
//
//easyjson:json
type StartRequest struct {
	Service  string `json:"service"`
	Target   string `json:"target"`
	Duration string `json:"over"`
}

// Start returns the update that starts a release. A release in progress with the same target and duration continues;
// any other is replaced.
func Start(target string, duration time.Duration, now time.Time) quorum.UpdateFunc {
	return func(current quorum.Value) quorum.Value {
		release, exists := Read(current)
		if exists && release.isInProgress(target, duration) {
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

// StartOnce is Start for an order that may be a resent one: an order with the same target and duration as an earlier
// one within the window has no effect, even if another release was started in between.
func StartOnce(target string, duration time.Duration, now time.Time, window time.Duration) quorum.UpdateFunc {
	return dedup.ApplyOnce(orderText(target, duration), now, window, Start(target, duration, now))
}

// orderText is the text by which a register records the order of a release.
func orderText(target string, duration time.Duration) string { return duration.String() + " " + target }

// StartFrom is StartOnce for an order that is based on a version of the register. It has no effect if the register has
// changed since: a later order may have been given after this one, and must not be replaced. Overtaken tells this from an
// effect.
func StartFrom(
	base uint64, target string, duration time.Duration, now time.Time, window time.Duration,
) quorum.UpdateFunc {
	update := StartOnce(target, duration, now, window)
	return func(current quorum.Value) quorum.Value {
		if current.Version != base {
			return current
		}
		return update(current)
	}
}

// Overtaken reports whether the register has changed since the base of an order, so that the order has no effect, and is
// not recorded as applied either.
func Overtaken(
	base uint64, target string, duration time.Duration, now time.Time, window time.Duration, chosen quorum.Value,
) bool {
	applied := dedup.ReadAppliedOrders(chosen)
	return chosen.Version != base && !applied.Contains(orderText(target, duration), now, window)
}

// End returns the update that ends the release with the given number in the given phase. It has no effect on a release
// that has already ended, so that the first of two concurrent decisions is kept.
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

// Read decodes the release in a register, and reports whether there is a valid one. The release is never nil.
func Read(value quorum.Value) (*Release, bool) {
	release := &Release{}
	if value.Body == "" {
		return release, false
	}
	err := easyjson.Unmarshal([]byte(value.Body), release)
	return release, err == nil
}

func (r *Release) isInProgress(target string, duration time.Duration) bool {
	return r.Phase == PhaseInService && r.Target == target && r.DurationMs == duration.Milliseconds()
}

// replace returns the next value of the register, which stores this release.
func (r *Release) replace(current quorum.Value) quorum.Value {
	body, _ := easyjson.Marshal(r) // encoding strings and integers cannot fail
	return quorum.Value{Version: current.Version + 1, Body: string(body), Annotation: current.Annotation}
}
