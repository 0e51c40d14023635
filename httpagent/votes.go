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

	"sagelever/internal/agent/api"
	"sagelever/internal/upstream"
)

// votePath is the path for votes at the platform.
const votePath = "/api/opinions"

// voteBody is the JSON encoding of a vote.
type voteBody struct {
	Image   api.Build `json:"image"`
	Opinion string    `json:"opinion"`
	Ring    api.Stage `json:"ring"`
}

var verdictWords = map[api.Verdict]string{
	api.VerdictNone:     "none",
	api.VerdictAdvance:  "on",
	api.VerdictHold:     "hold",
	api.VerdictRollBack: "back",
}

// voteRefusal is the status and error code of a response to a vote that did not count. A vote is known not to have
// counted only if both match.
type voteRefusal struct {
	status int
	code   string
}

var voteRefusals = map[voteRefusal]api.VoteResult{
	{http.StatusTooManyRequests, "too_many_calls"}:  api.VoteRateLimited,
	{http.StatusConflict, "out_of_date"}:            api.VoteStale,
	{http.StatusInternalServerError, "unavailable"}: api.VoteFailed,
	{http.StatusBadRequest, "bad_request"}:          api.VoteFailed,
}

// submitVote sends a vote to the platform and delivers the result to the policy. A vote without a valid response may
// have counted.
func (a *Agent) submitVote(ctx context.Context, vote api.CastVote) {
	update, err := a.postVote(ctx, vote)
	if err != nil {
		a.log.Warn("vote_failed", "build", vote.Build, "stage", vote.Stage, "verdict", verdictWords[vote.Verdict],
			"error", err)
	}
	update.AnswersVote = true
	a.engine.Deliver(update)
}

// postVote sends a vote. The returned update is valid even if there is an error.
func (a *Agent) postVote(ctx context.Context, vote api.CastVote) (api.RolloutUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, setting(a.station, "vote.wait", time.Second))
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := newVoteRequest(ctx, a.endpoints.platform(), vote)
	if err != nil {
		return api.RolloutUpdate{Result: api.VoteFailed}, err
	}
	resp, err := a.control.RoundTrip(req)
	if err != nil {
		if !connected {
			return api.RolloutUpdate{Result: api.VoteFailed}, err
		}
		return api.RolloutUpdate{Result: api.VoteUnanswered}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	if err != nil {
		return api.RolloutUpdate{Result: api.VoteUnanswered}, err
	}
	return parseVoteAnswer(resp, text)
}

func newVoteRequest(ctx context.Context, address string, vote api.CastVote) (*http.Request, error) {
	body, err := json.Marshal(voteBody{Image: vote.Build, Ring: vote.Stage, Opinion: verdictWords[vote.Verdict]})
	if err != nil {
		return nil, err
	}
	req := (&http.Request{
		Method: http.MethodPost,
		Host:   address,
		URL:    &url.URL{Scheme: "http", Host: address, Path: votePath},
		Header: http.Header{"Content-Type": {"application/json"}},
	}).WithContext(ctx)
	upstream.SetNonReplayableBody(req, body)
	return req, nil
}

// parseVoteAnswer parses the platform's response to a vote: the state of the rollout, or why the vote did not count.
func parseVoteAnswer(resp *http.Response, text []byte) (api.RolloutUpdate, error) {
	if resp.StatusCode == http.StatusOK {
		update, err := parseRollout(text)
		if err != nil {
			update.Result = api.VoteUnanswered
		}
		return update, err
	}
	var refused struct {
		Error string `json:"error"`
	}
	err := json.Unmarshal(text, &refused)
	if result, known := voteRefusals[voteRefusal{resp.StatusCode, refused.Error}]; known && err == nil {
		return api.RolloutUpdate{Result: result}, nil
	}
	return api.RolloutUpdate{Result: api.VoteUnanswered}, fmt.Errorf("%s: %.200q", resp.Status, text)
}
