package main

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A short run with all faults violates no guarantee: each message gets one answer, no rollout-step message is executed
// twice, and no backend executes messages long after its drain.
func TestWebSocket(t *testing.T) {
	options := webSocketOptions{messages: 800, clients: 8, seed: 1}
	report, err := runWebSocket(options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	injected := 0
	for _, count := range report.faults {
		injected += count
	}
	if err := report.check(); err != nil || report.messages != 800 || report.satisfied < 400 || injected != 10 {
		t.Errorf("%v\n%s", err, report)
	}
}

// validRun returns answers and executions that violate no guarantee.
func validRun() (map[string]*answerRecord, observation) {
	records := map[string]*answerRecord{
		"a": {types: []string{"satisfied"}, bodyOK: true, latency: time.Millisecond},
		"b": {rollout: true, types: []string{"broken_off"}},
	}
	return records, observation{runs: map[string]int{"a": 2, "b": 1}}
}

// check detects each kind of violation.
func TestSummarizeFindsViolations(t *testing.T) {
	if report := summarize(validRun()); report.check() != nil || report.answers != 2 || report.p50 != time.Millisecond {
		t.Fatalf("%s", report)
	}
	for _, test := range []struct {
		want   string // in the report
		change func(records map[string]*answerRecord, observed *observation)
	}{
		{"missing=1", func(records map[string]*answerRecord, _ *observation) { records["a"].types = nil }},
		{"double=1", func(records map[string]*answerRecord, _ *observation) {
			records["b"].types = []string{"broken_off", "deferred"}
		}},
		{"unrun=1", func(_ map[string]*answerRecord, observed *observation) { delete(observed.runs, "a") }},
		{"unrun=1", func(records map[string]*answerRecord, _ *observation) { records["a"].bodyOK = false }},
		{"rollout_step_runs_max=2", func(_ map[string]*answerRecord, observed *observation) { observed.runs["b"] = 2 }},
		{"late_after_drain=1", func(_ map[string]*answerRecord, observed *observation) { observed.lateAfterDrain = 1 }},
	} {
		records, observed := validRun()
		test.change(records, &observed)
		report := summarize(records, observed)
		if report.check() == nil || !strings.Contains(report.String(), test.want) {
			t.Errorf("%s was not detected: %s", test.want, report)
		}
	}
}
