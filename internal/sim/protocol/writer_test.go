package protocol

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"sagelever/internal/agent/api"
)

func TestActions(t *testing.T) {
	var out bytes.Buffer
	err := WriteReplies(bufio.NewWriter(&out), []Reply{{Instance: "agent-3", Actions: []api.Action{
		api.StartAttempt{Transaction: "r", Backend: 5, Timeout: 80 * time.Millisecond}, api.CancelAttempt{Transaction: "r",
			Attempt: 1},
		api.DeferTransaction{Transaction: "r", RetryAfter: 250500 * time.Microsecond}, api.FailTransaction{Transaction: "r"},
		api.SetTimer{After: time.Second, Timer: 77}, api.CheckHealth{Backend: 5}, api.CloseIdleConnections{Backend: 5},
		api.SendMessage{All: true,
			Data: []byte("hi")}, api.SendMessage{To: 2}, api.WatchBackends{On: true}, api.FetchBackends{},
		api.CastVote{Build: 42, Stage: 2,
			Verdict: api.VerdictRollBack}, api.LogLine{Text: "a\nb"}, PolicyFailure{Text: "c"}}}})
	if err != nil {
		t.Fatal(err)
	}
	want := "PLACE agent-3 r 5 80\nCANCEL agent-3 r 1\nBOUNCE agent-3 r 250.5\nFINISH_ERROR agent-3 r\n" +
		"SCHEDULE agent-3 1000 77\nINSPECT agent-3 5\nFREE_LINKS agent-3 5\nWRITE_PEER agent-3 all 6869\n" +
		"WRITE_PEER agent-3 2 -\nTAIL agent-3 1\nGET_LIST agent-3\nVOTE agent-3 42 2 3\n" +
		"LOG agent-3 a b\nBUG agent-3 c\nYIELD\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
