package httpagent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"sagelever/internal/agent/api"
)

func TestVotes(t *testing.T) {
	var status int
	var answer string
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if text, _ := io.ReadAll(r.Body); r.URL.Path != "/api/opinions" ||
			string(text) != `{"image":42,"opinion":"back","ring":1}` {
			t.Errorf("%s %s", r.URL.Path, text)
		}
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		write(w, answer)
	}))
	defer platform.Close()
	station := newTestStation(t, "")
	station.Platform.Address = platform.Listener.Addr().String()
	agent := New(station)
	const state = `{"image":42,"ring":1,"progress":"trial","ceiling":0.28,"lag_ms":310}`
	for _, test := range []struct {
		status int
		answer string
		want   api.VoteResult
	}{{200, state, api.VoteCounted}, {200, "{", api.VoteUnanswered}, {429, `{"error":"too_many_calls"}`,
		api.VoteRateLimited},
		{409, `{"error":"out_of_date"}`, api.VoteStale}, {500, `{"error":"unavailable"}`, api.VoteFailed}, {400,
			`{"error":"bad_request"}`, api.VoteFailed},
		{409, `{"error":"unavailable"}`, api.VoteUnanswered}, {409, `{"error":"out_of_`, api.VoteUnanswered}, {500, "noise",
			api.VoteUnanswered},
		{200, `{"image":42,"ring":1,"progress":"trial"}`, api.VoteUnanswered}, {0, "", api.VoteUnanswered}} {
		status, answer = test.status, test.answer
		if got, _ := agent.postVote(context.Background(), api.CastVote{Build: 42, Stage: 1,
			Verdict: api.VerdictRollBack}); got.Result != test.want {
			t.Errorf("%d %s: %+v", test.status, test.answer, got)
		}
	}
	platform.Close()
	if got, _ := agent.postVote(context.Background(), api.CastVote{}); got.Result != api.VoteFailed {
		t.Errorf("connection refused: %+v", got)
	}
}
