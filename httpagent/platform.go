package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"sagelever/agent"
	"sagelever/strand"
	"sagelever/terms"
)

// rollout is the state of the newest build, as written.
type rollout struct {
	Image    *int     `json:"image"`
	Ring     *int     `json:"ring"`
	Progress string   `json:"progress"`
	Ceiling  *float64 `json:"ceiling"`
	LagMs    *float64 `json:"lag_ms"`
}

// dispute says that a client found an answer wrong, as written.
type dispute struct {
	Host  string   `json:"host"`
	Type  string   `json:"type"`
	LagMs *float64 `json:"lag_ms"`
}

// told is one line of the platform's stream, as written.
type told struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

var phases = map[string]agent.Phase{"trial": agent.OnTrial, "rolling_back": agent.GoingBack,
	"released": agent.Released, "withdrawn": agent.Withdrawn}

var opinions = map[agent.Verdict]string{agent.NoVote: "none", agent.On: "on", agent.Hold: "hold", agent.Back: "back"}

// readNews reads the state of the newest build: all of it, or nothing.
func readNews(text []byte) (agent.TrialNews, error) {
	var r rollout
	if err := json.Unmarshal(text, &r); err != nil {
		return agent.TrialNews{}, err
	}
	phase, ok := phases[r.Progress]
	if !ok || r.Image == nil || r.Ring == nil || r.Ceiling == nil || *r.Image < 0 || *r.Ring < 0 || *r.Ceiling < 0 || *r.Ceiling > 1 ||
		!isLag(r.LagMs) {
		return agent.TrialNews{}, fmt.Errorf("state of a build cannot be read: %.200q", text)
	}
	return agent.TrialNews{Answer: agent.Counted, Stage: agent.Stage(*r.Ring), Build: agent.Build(*r.Image),
		Age: terms.Millis(*r.LagMs), Cap: *r.Ceiling, Phase: phase}, nil
}

// isLag tells whether a number of milliseconds is there and can have passed.
func isLag(ms *float64) bool { return ms != nil && *ms >= 0 && *ms < mostFigure }

// readTold reads one line of the stream; a sign of life is no event.
func readTold(line []byte) (agent.Event, error) {
	var t told
	if err := json.Unmarshal(line, &t); err != nil {
		return nil, err
	}
	switch t.Type {
	case "ROLLOUT":
		news, err := readNews(t.Object)
		if err != nil {
			return nil, err
		}
		return news, nil
	case "DISPUTE":
		var d dispute
		if err := json.Unmarshal(t.Object, &d); err != nil {
			return nil, err
		}
		if d.Host == "" || d.Type == "" || !isLag(d.LagMs) {
			return nil, fmt.Errorf("a dispute cannot be read: %.200q", line)
		}
		return agent.Complaint{Appliance: applianceID(d.Host), Workload: agent.Workload(d.Type), Age: terms.Millis(*d.LagMs)}, nil
	}
	if t.Type != "" || t.Object != nil {
		return nil, fmt.Errorf("an unknown word: %.200q", line)
	}
	return nil, nil
}

// streamSilence is three times as long as the stream is ever silent, unless the platform is.
const streamSilence = 3 * time.Second

// listen follows the platform's stream.
func (a *Agent) listen(ctx context.Context) {
	keepOpen(ctx, a.log, "stream", streamSilence, a.moved.stream, func(ctx context.Context, heard func()) error {
		return follow(ctx, a.control, a.moved.platform(), "/api/stream", func(line []byte) error {
			if err := a.hearPlatform(line); err != nil {
				return err
			}
			heard()
			return nil
		})
	})
}

// hearPlatform takes one line of the stream; an empty one is a sign of life.
func (a *Agent) hearPlatform(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	event, err := readTold(line)
	if err != nil {
		return fmt.Errorf("a line that cannot be read: %w", err)
	}
	if event != nil {
		a.engine.Tell(event)
	}
	return nil
}

// vote casts a vote and tells the module how the platform took it. What has no readable answer may have counted.
func (a *Agent) vote(ctx context.Context, v agent.Vote) {
	news, err := a.castVote(ctx, v)
	if err != nil {
		a.log.Warn("vote_failed", "build", v.Build, "stage", v.Stage, "verdict", opinions[v.Verdict], "error", err)
	}
	news.ToVote = true
	a.engine.Tell(news)
}

func (a *Agent) castVote(ctx context.Context, v agent.Vote) (agent.TrialNews, error) {
	ctx, cancel := context.WithTimeout(ctx, term(a.station, "vote.wait", time.Second))
	defer cancel()
	body, _ := json.Marshal(map[string]any{"image": v.Build, "ring": v.Stage, "opinion": opinions[v.Verdict]})
	written := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written = true }})
	address := a.moved.platform()
	req := (&http.Request{Method: http.MethodPost, Host: address,
		URL:    &url.URL{Scheme: "http", Host: address, Path: "/api/opinions"},
		Header: http.Header{"Content-Type": {"application/json"}}}).WithContext(ctx)
	strand.CarryBody(req, body)
	resp, err := a.control.RoundTrip(req)
	if err != nil {
		if !written {
			return agent.TrialNews{Answer: agent.Erred}, err
		}
		return agent.TrialNews{Answer: agent.Unanswered}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	if err != nil {
		return agent.TrialNews{Answer: agent.Unanswered}, err
	}
	if resp.StatusCode == http.StatusOK {
		news, err := readNews(text)
		if err != nil {
			news.Answer = agent.Unanswered
		}
		return news, err
	}
	var not struct {
		Error string `json:"error"`
	}
	err = json.Unmarshal(text, &not)
	if answer, ok := refusals[refusal{resp.StatusCode, not.Error}]; ok && err == nil {
		return agent.TrialNews{Answer: answer}, nil
	}
	return agent.TrialNews{Answer: agent.Unanswered}, fmt.Errorf("%s: %.200q", resp.Status, text)
}

// refusal is how the platform says that a vote was not carried out: only a status with its own word says so.
type refusal struct {
	status int
	word   string
}

var refusals = map[refusal]agent.Answer{{429, "too_many_calls"}: agent.TooMany, {409, "out_of_date"}: agent.Moot,
	{500, "unavailable"}: agent.Erred, {400, "bad_request"}: agent.Erred}
