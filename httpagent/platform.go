package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/settings/deployment"
)

// streamPath is the path of the platform's stream of rollouts and disputes.
const streamPath = "/api/stream"

// rolloutBody is the JSON encoding of the state of the newest build.
type rolloutBody struct {
	Image    *int     `json:"image"`
	Ring     *int     `json:"ring"`
	Progress string   `json:"progress"`
	Ceiling  *float64 `json:"ceiling"`
	LagMs    *float64 `json:"lag_ms"`
}

// disputeBody is the JSON encoding of a client's complaint about a wrong response.
type disputeBody struct {
	Host  string   `json:"host"`
	Type  string   `json:"type"`
	LagMs *float64 `json:"lag_ms"`
}

// streamLine is the JSON encoding of one line of the platform's stream.
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

// parseRollout parses the state of the newest build. All fields are required.
func parseRollout(text []byte) (api.RolloutUpdate, error) {
	var body rolloutBody
	if err := json.Unmarshal(text, &body); err != nil {
		return api.RolloutUpdate{}, err
	}
	phase, known := phases[body.Progress]
	if !known || !body.valid() {
		return api.RolloutUpdate{}, fmt.Errorf("invalid rollout state: %.200q", text)
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

// valid reports whether all numbers are present and in range.
func (r rolloutBody) valid() bool {
	if r.Image == nil || r.Ring == nil || r.Ceiling == nil || !validLag(r.LagMs) {
		return false
	}
	return *r.Image >= 0 && *r.Ring >= 0 && *r.Ceiling >= 0 && *r.Ceiling <= 1
}

// validLag reports whether a number of milliseconds is present and in range.
func validLag(ms *float64) bool { return ms != nil && *ms >= 0 && *ms < maxHeaderNumber }

// parseStreamLine parses one line of the stream. The event of a heartbeat is nil.
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
	return nil, fmt.Errorf("unknown type: %.200q", line)
}

func parseDispute(text []byte) (api.Complaint, error) {
	var body disputeBody
	if err := json.Unmarshal(text, &body); err != nil {
		return api.Complaint{}, err
	}
	if body.Host == "" || body.Type == "" || !validLag(body.LagMs) {
		return api.Complaint{}, fmt.Errorf("invalid dispute: %.200q", text)
	}
	return api.Complaint{
		Backend:  backendID(body.Host),
		Workload: api.Workload(body.Type),
		Age:      deployment.FromMilliseconds(*body.LagMs),
	}, nil
}

// streamTimeout is three times the longest silence of the stream while the platform is up.
const streamTimeout = 3 * time.Second

// followPlatform reads the platform's stream until ctx is canceled.
func (a *Agent) followPlatform(ctx context.Context) {
	follow := func(ctx context.Context, received func()) error {
		handle := handleLines(a.receivePlatformLine, received)
		return readLines(ctx, a.control, a.endpoints.platform(), streamPath, handle)
	}
	maintainStream(ctx, a.log, "stream", streamTimeout, a.endpoints.streamChanged, follow)
}

// receivePlatformLine handles one line of the stream. An empty line is a heartbeat.
func (a *Agent) receivePlatformLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	event, err := parseStreamLine(line)
	if err != nil {
		return fmt.Errorf("invalid line: %w", err)
	}
	if event != nil {
		a.engine.Deliver(event)
	}
	return nil
}
