package httpagent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"sagelever/agent"
	"sagelever/terms"
)

// rollout is the state of the newest build, as written.
type rollout struct {
	Image    *int    `json:"image"`
	Ring     int     `json:"ring"`
	Progress string  `json:"progress"`
	Ceiling  float64 `json:"ceiling"`
	LagMs    float64 `json:"lag_ms"`
}

// dispute says that a client found an answer wrong, as written.
type dispute struct {
	Host  string  `json:"host"`
	Type  string  `json:"type"`
	LagMs float64 `json:"lag_ms"`
}

// told is one line of the platform's stream, as written.
type told struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

var phases = map[string]agent.Phase{"trial": agent.OnTrial, "rolling_back": agent.GoingBack,
	"released": agent.Released, "withdrawn": agent.Withdrawn}

var opinions = map[agent.Verdict]string{agent.NoVote: "none", agent.On: "on", agent.Hold: "hold", agent.Back: "back"}

func readNews(text []byte) (agent.TrialNews, error) {
	var r rollout
	if err := json.Unmarshal(text, &r); err != nil {
		return agent.TrialNews{}, err
	}
	phase, ok := phases[r.Progress]
	if !ok || r.Image == nil {
		return agent.TrialNews{}, fmt.Errorf("state of a build cannot be read: %.200q", text)
	}
	return agent.TrialNews{Answer: agent.Counted, Stage: agent.Stage(r.Ring), Build: agent.Build(*r.Image),
		Age: terms.Millis(r.LagMs), Cap: r.Ceiling, Phase: phase}, nil
}

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
		return agent.Complaint{Appliance: applianceID(d.Host), Workload: agent.Workload(d.Type), Age: terms.Millis(d.LagMs)}, nil
	}
	return nil, nil
}

// The stream shows a sign of life every second, unless the platform is silent. After three without one another
// stream is opened beside it, as what is told while there is none is lost; the older is dropped once the newer speaks.
const (
	streamSilence = 3 * time.Second
	mostStreams   = 4 // of the 32 connections that the platform takes
)

// listen follows the platform's stream.
func (a *Agent) listen(ctx context.Context) {
	var streams []context.CancelFunc // the newest last
	for ctx.Err() == nil {
		one, cancel := context.WithCancel(ctx)
		if streams = append(streams, cancel); len(streams) > mostStreams {
			streams[0]()
			streams = streams[1:]
		}
		heard, ended := make(chan struct{}, 1), make(chan error, 1)
		go func() {
			ended <- follow(one, a.control, a.station.Platform.Address, "/api/stream", func(line []byte) error {
				select {
				case heard <- struct{}{}:
				default:
				}
				return a.hearPlatform(line)
			})
		}()
		for open := true; open; {
			select {
			case <-heard:
				for _, drop := range streams[:len(streams)-1] {
					drop()
				}
				streams = streams[len(streams)-1:]
			case err := <-ended:
				open = false
				cancel()
				streams = streams[:len(streams)-1]
				if ctx.Err() == nil {
					log.Printf("event=stream_ended error=%q", err)
					pause(ctx, reopen)
				}
			case <-time.After(streamSilence):
				open = false
				log.Printf("event=stream_silent after=%s", streamSilence)
			}
		}
	}
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
		log.Printf("event=vote_failed build=%d stage=%d verdict=%s error=%q", v.Build, v.Stage, opinions[v.Verdict], err)
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
	req := (&http.Request{Method: http.MethodPost, Host: a.station.Platform.Address,
		URL:    &url.URL{Scheme: "http", Host: a.station.Platform.Address, Path: "/api/opinions"},
		Header: http.Header{"Content-Type": {"application/json"}}}).WithContext(ctx)
	carryBody(req, body)
	resp, err := a.control.RoundTrip(req)
	if err != nil {
		if !written {
			return agent.TrialNews{Answer: agent.Erred}, err
		}
		return agent.TrialNews{Answer: agent.Unanswered}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostBody))
	switch {
	case err != nil:
		return agent.TrialNews{Answer: agent.Unanswered}, err
	case resp.StatusCode == http.StatusOK:
		news, err := readNews(text)
		if err != nil {
			news.Answer = agent.Unanswered
		}
		return news, err
	case resp.StatusCode == http.StatusTooManyRequests:
		return agent.TrialNews{Answer: agent.TooMany}, nil
	case resp.StatusCode == http.StatusConflict:
		return agent.TrialNews{Answer: agent.Moot}, nil
	}
	return agent.TrialNews{Answer: agent.Erred}, fmt.Errorf("%s: %.200q", resp.Status, text)
}
