package simwire

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"sagelever/agent"
)

func TestActions(t *testing.T) {
	var out bytes.Buffer
	WriteReplies(bufio.NewWriter(&out), []Reply{{Instance: "agent-3", Actions: []agent.Action{
		agent.StartAttempt{Transaction: "r", Backend: 5, Timeout: 80 * time.Millisecond}, agent.CancelAttempt{Transaction: "r", Attempt: 1},
		agent.DeferTransaction{Transaction: "r", RetryAfter: 250500 * time.Microsecond}, agent.FailTransaction{Transaction: "r"},
		agent.SetTimer{After: time.Second, Timer: 77}, agent.CheckHealth{Backend: 5}, agent.CloseIdleConnections{Backend: 5},
		agent.SendMessage{All: true, Data: []byte("hi")}, agent.SendMessage{To: 2}, agent.WatchBackends{On: true}, agent.FetchBackends{},
		agent.CastVote{Build: 42, Stage: 2, Verdict: agent.VerdictRollBack}, agent.LogLine{Text: "a\nb"}, PolicyFailure{Text: "c"}}}})
	want := "PLACE agent-3 r 5 80\nCANCEL agent-3 r 1\nBOUNCE agent-3 r 250.5\nFINISH_ERROR agent-3 r\n" +
		"SCHEDULE agent-3 1000 77\nINSPECT agent-3 5\nFREE_LINKS agent-3 5\nWRITE_PEER agent-3 all 6869\n" +
		"WRITE_PEER agent-3 2 -\nTAIL agent-3 1\nGET_LIST agent-3\nVOTE agent-3 42 2 3\nLOG agent-3 a b\nBUG agent-3 c\nYIELD\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
