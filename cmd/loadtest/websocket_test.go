package main

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A small run with every fault: one answer for each message, no second run of a rollout-step, drains kept.
func TestWebSocket(t *testing.T) {
	f, err := runWebSocket(800, 8, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.check(); err != nil || f.messages != 800 || f.satisfied < 400 || f.unresponsive+f.deaf+f.killed+f.drained+f.overloaded != 10 {
		t.Errorf("%v\n%s", err, f)
	}
}

// The checker finds each fault when it is planted.
func TestSummarizeFindsViolations(t *testing.T) {
	good := func() (map[string]*answerRecord, map[string]int) {
		return map[string]*answerRecord{"a": {types: []string{"satisfied"}, bodyOK: true, latency: time.Millisecond}, "b": {rollout: true, types: []string{"broken_off"}}},
			map[string]int{"a": 2, "b": 1}
	}
	told, runs := good()
	if f := summarize(told, runs); f.check() != nil || f.answers != 2 || f.p50 != time.Millisecond {
		t.Fatalf("%s", f)
	}
	for name, plant := range map[string]func(told map[string]*answerRecord, runs map[string]int){
		"missing=1": func(told map[string]*answerRecord, _ map[string]int) { told["a"].types = nil },
		"double=1": func(told map[string]*answerRecord, _ map[string]int) {
			told["b"].types = []string{"broken_off", "deferred"}
		},
		"unrun=1":                 func(_ map[string]*answerRecord, runs map[string]int) { delete(runs, "a") },
		"unrun=1 ":                func(told map[string]*answerRecord, _ map[string]int) { told["a"].bodyOK = false },
		"rollout_step_runs_max=2": func(_ map[string]*answerRecord, runs map[string]int) { runs["b"] = 2 },
	} {
		told, runs := good()
		plant(told, runs)
		if f := summarize(told, runs); f.check() == nil || !strings.Contains(f.String(), strings.TrimSpace(name)) {
			t.Errorf("%s is not found: %s", name, f)
		}
	}
	if (webSocketReport{lateAfterDrain: 1}).check() == nil {
		t.Error("a late send after a drain is not found")
	}
}
