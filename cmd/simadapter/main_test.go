package main

import (
	"bytes"
	"strings"
	"testing"
)

// helloLine starts an instance.
const helloLine = `HELLO agent-1 7 {"tick":5,"balancers":1,` +
	`"classes":[{"name":"c","semantics":"free","goalTime":300,"giveUp":750}],` +
	`"permissions":{"maxAttempts":3},"novelty":{"x":1}}`

// runAdapter sends lines to the adapter and returns its output.
func runAdapter(t *testing.T, lines ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

func TestOneRequest(t *testing.T) {
	out, err := runAdapter(t, "MARK 8000", "COMMIT", "MARK 8412.25", helloLine, "POOL 3 1",
		"APPLIANCE 41 0 std up 515 - place 1", "PEERS_KNOWN agent-1 disk 9 3",
		"TRIAL_NEWS agent-1 pass 0 41 0 1 0 2", "DEMAND agent-1 r-a c 240.5 12 k 1 -", "COMMIT",
		"MARK 8430", "RESULT agent-1 r-a 515 17.75 0 1 pass util:0.5", "COMMIT")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"SCHEDULE agent-1 235.5 ", "PLACE agent-1 r-a 515 0\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
	if strings.Count(out, "YIELD\n") != 3 {
		t.Errorf("want one reply for each of three batches, got\n%s", out)
	}
}

// If a batch stops an instance and starts it again, the actions of the first instance are discarded, and the second one
// starts without its state.
func TestStopAndStart(t *testing.T) {
	out, err := runAdapter(t, "MARK 1", helloLine, "COMMIT", "MARK 2", "POOL 0 1", "APPLIANCE 4 0 std up 5 - place 1",
		"PEERS_KNOWN agent-1 snapshot 1 0", "TRIAL_NEWS agent-1 pass 0 4 0 1 0 2", "DEMAND agent-1 r-a c 100 - - 0 -",
		"TEARDOWN agent-1", helloLine, "POOL 0 0", "PEERS_KNOWN agent-1 disk 1 0", "COMMIT")
	if err != nil || strings.Contains(out, "PLACE") || !strings.Contains(out, "SCHEDULE agent-1") {
		t.Errorf("error %v, output\n%s", err, out)
	}
}

func TestMalformed(t *testing.T) {
	for line, want := range map[string]string{
		"DEMAND agent-1 r-a c abc 12 k 1 -": `line 3: budget is not a number: "abc"`,
		"DEMAND agent-1 r-a c 240":          "line 3: work is missing",
		"PEERS_KNOWN agent-1 disk 9 3":      "line 3: PEERS_KNOWN names POOL 3, which was not given",
		"RESULT agent-1 r 5 1 0 1 fine -":   "line 3: status is none of",
		"WAKEUP agent-2 7":                  `line 3: WAKEUP for "agent-2", which has not started`,
		"WAKEUP agent-1 7 8":                "line 3: more parts than expected",
		"NOISE agent-1":                     `line 3: unknown message "NOISE"`,
	} {
		if _, err := runAdapter(t, "MARK 1", helloLine, line, "COMMIT"); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: error %v, want %s", line, err, want)
		}
	}
	if _, err := runAdapter(t, "MARK 1", helloLine); err == nil {
		t.Error("no error for input that ends inside a batch")
	}
}
