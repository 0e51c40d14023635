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
	Write(bufio.NewWriter(&out), []Reply{{Instance: "agent-3", Actions: []agent.Action{
		agent.Send{ID: "r", Appliance: 5, TimeOut: 80 * time.Millisecond}, agent.CallOff{ID: "r", Send: 1},
		agent.Defer{ID: "r", Wait: 250500 * time.Microsecond}, agent.BreakOff{ID: "r"},
		agent.Wake{After: time.Second, Timer: 77}, agent.Probe{Appliance: 5}, agent.FreeLinks{Appliance: 5},
		agent.Tell{All: true, Data: []byte("hi")}, agent.Tell{To: 2}, agent.Subscribe{On: true}, agent.Fetch{},
		agent.Vote{Build: 42, Stage: 2, Verdict: agent.Back}, agent.Log{Text: "a\nb"}, Bug{Text: "c"}}}})
	want := "PLACE agent-3 r 5 80\nCANCEL agent-3 r 1\nBOUNCE agent-3 r 250.5\nFINISH_ERROR agent-3 r\n" +
		"SCHEDULE agent-3 1000 77\nINSPECT agent-3 5\nFREE_LINKS agent-3 5\nWRITE_PEER agent-3 all 6869\n" +
		"WRITE_PEER agent-3 2 -\nTAIL agent-3 1\nGET_LIST agent-3\nVOTE agent-3 42 2 3\nLOG agent-3 a b\nBUG agent-3 c\nYIELD\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
