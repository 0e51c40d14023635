package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/settings/deployment"
)

// streamPath is where the platform tells of rollouts and disputes.
const streamPath = "/api/stream"

// rolloutBody is the state of the newest build, as the platform writes it.
type rolloutBody struct {
	Image    *int     `json:"image"`
	Ring     *int     `json:"ring"`
	Progress string   `json:"progress"`
	Ceiling  *float64 `json:"ceiling"`
	LagMs    *float64 `json:"lag_ms"`
}

// disputeBody says that a client found an answer wrong, as the platform writes it.
type disputeBody struct {
	Host  string   `json:"host"`
	Type  string   `json:"type"`
	LagMs *float64 `json:"lag_ms"`
}

// streamLine is one line of the platform's stream.
type streamLine struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

var phases = map[string]api.Phase{
	"trial":        api.PhaseTrial,
	"rolling_back": api.PhaseRollingBack,
	"released":     api.PhaseReleased,
	"withdrawn":    api.PhaseWithdrawn,
}

// parseRollout reads the state of the newest build: all of it, or nothing.
func parseRollout(text []byte) (api.RolloutUpdate, error) {
	var body rolloutBody
	if err := json.Unmarshal(text, &body); err != nil {
		return api.RolloutUpdate{}, err
	}
	phase, known := phases[body.Progress]
	if !known || !body.valid() {
		return api.RolloutUpdate{}, fmt.Errorf("state of a build cannot be read: %.200q", text)
	}
	return api.RolloutUpdate{
		Result: api.VoteCounted,
		Stage:  api.Stage(*body.Ring),
		Build:  api.Build(*body.Image),
		Age:    deployment.FromMilliseconds(*body.LagMs),
		Cap:    *body.Ceiling,
		Phase:  phase,
	}, nil
}

// valid reports whether all numbers are there and in their range.
func (r rolloutBody) valid() bool {
	if r.Image == nil || r.Ring == nil || r.Ceiling == nil || !validLag(r.LagMs) {
		return false
	}
	return *r.Image >= 0 && *r.Ring >= 0 && *r.Ceiling >= 0 && *r.Ceiling <= 1
}

// validLag reports whether a number of milliseconds is there and can have passed.
func validLag(ms *float64) bool { return ms != nil && *ms >= 0 && *ms < maxHeaderNumber }

// parseStreamLine reads one line of the stream; a heartbeat is no event, but nil.
func parseStreamLine(line []byte) (api.Event, error) {
	var parsed streamLine
	if err := json.Unmarshal(line, &parsed); err != nil {
		return nil, err
	}
	switch {
	case parsed.Type == "ROLLOUT":
		update, err := parseRollout(parsed.Object)
		if err != nil {
			return nil, err
		}
		return update, nil
	case parsed.Type == "DISPUTE":
		complaint, err := parseDispute(parsed.Object)
		if err != nil {
			return nil, err
		}
		return complaint, nil
	case parsed.Type == "" && parsed.Object == nil:
		return nil, nil
	}
	return nil, fmt.Errorf("an unknown word: %.200q", line)
}

func parseDispute(text []byte) (api.Complaint, error) {
	var body disputeBody
	if err := json.Unmarshal(text, &body); err != nil {
		return api.Complaint{}, err
	}
	if body.Host == "" || body.Type == "" || !validLag(body.LagMs) {
		return api.Complaint{}, fmt.Errorf("a dispute cannot be read: %.200q", text)
	}
	return api.Complaint{
		Backend:  backendID(body.Host),
		Workload: api.Workload(body.Type),
		Age:      deployment.FromMilliseconds(*body.LagMs),
	}, nil
}

// streamTimeout is three times as long as the stream is ever silent while the platform is alive.
const streamTimeout = 3 * time.Second

// followPlatform follows the platform's stream until the context ends.
func (a *Agent) followPlatform(ctx context.Context) {
	follow := func(ctx context.Context, received func()) error {
		handle := handleLines(a.receivePlatformLine, received)
		return readLines(ctx, a.control, a.endpoints.platform(), streamPath, handle)
	}
	maintainStream(ctx, a.log, "stream", streamTimeout, a.endpoints.streamChanged, follow)
}

// receivePlatformLine takes one line of the stream; an empty one is a heartbeat.
func (a *Agent) receivePlatformLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	event, err := parseStreamLine(line)
	if err != nil {
		return fmt.Errorf("a line that cannot be read: %w", err)
	}
	if event != nil {
		a.engine.Deliver(event)
	}
	return nil
}
