package main

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The policy's source file exists at the path that the command reads.
func TestPolicyFileExists(t *testing.T) {
	if _, err := os.Stat(filepath.Join("..", "..", policyFile)); err != nil {
		t.Error(err)
	}
}

// Drops of the score, violated rules and policies without a score are reported. Runs of other days do not count for the
// best score.
func TestFindings(t *testing.T) {
	newRun := func(site, days, policyHash, rules string, score float64) scoredRun {
		return scoredRun{date: "d", site: site, bench: "simulated", kind: "quick", score: score, days: days,
			policyHash: policyHash, rules: rules}
	}
	record := []scoredRun{
		newRun("a", "old", "m", rulesKept, 0.99),
		newRun("a", "new", "m", rulesKept, 0.50),
		newRun("a", "new", "m", rulesKept, 0.46),
		newRun("b", "new", "m", rulesKept, 0.50),
		newRun("b", "new", "m", rulesKept, 0.48),
		newRun("c", "new", "before", "day own", 0.7),
	}
	got := findings(record, "m")
	if len(got) != 3 {
		t.Fatalf("%d lines: %q", len(got), got)
	}
	for i, want := range []string{"FALLEN by 0.040 from 0.500", "", "RULES: day own  not scored since"} {
		if !strings.Contains(got[i], want) || want == "" && strings.ContainsAny(got[i], "FRn") {
			t.Errorf("line %d is %q, want %q", i, got[i], want)
		}
	}
}

// completeEntry returns an entry of a finished run of real agents.
func completeEntry() journalEntry {
	score := 0.0
	entry := journalEntry{
		ID:      "x",
		Command: "real-score",
		Site:    "s",
		Panel:   "real:1:quick",
		Head:    "0123456789",
		Dirty:   true,
		Sim:     true,
		OK:      true,
		At:      []string{"d"},
		Policy:  []journalPolicy{{"0123456789abcdef"}},
	}
	entry.Figures.Real = &score
	return entry
}

// The fields of a run follow from its journal entry, and runs of other projects' adapters are omitted.
func TestRunOf(t *testing.T) {
	run, ok := runOf(completeEntry())
	if !ok || run.kind != "quick" || run.bench != "sockets" || run.commit != "0123456+" {
		t.Errorf("complete %v, run %+v", ok, run)
	}
	for panel, want := range map[string]string{
		"real:k:1:herd+vast,zone+vast:quick": "fleet",
		"mass:k:1:calm+mass,herd+mass:quick": "standing",
	} {
		entry := completeEntry()
		entry.Panel = panel
		if run, _ := runOf(entry); run.bench != want {
			t.Errorf("panel %s belongs to benchmark %s, want %s", panel, run.bench, want)
		}
	}
	foreign := completeEntry()
	foreign.Sim = false
	if _, ok := runOf(foreign); ok {
		t.Error("a run of another project's adapter is in the record")
	}
}

// Violated rules and a failed gate are recorded; a passed gate is not.
func TestRunOfRules(t *testing.T) {
	failed, passed := 0.0, 1.0
	entry := completeEntry()
	entry.Days = []journalDay{{"soak", nil, map[string]float64{"lost": 4, "own": 0}, "lost"}}
	entry.Figures.Gate = &failed
	if run, _ := runOf(entry); run.rules != "GATE FAILED; soak gate: lost; soak lost" {
		t.Errorf("a failed gate is recorded as %q", run.rules)
	}
	entry.Days = nil
	entry.Figures.Gate = &passed
	if run, _ := runOf(entry); run.rules != rulesKept {
		t.Errorf("a passed gate is recorded as %q", run.rules)
	}
}

// Reading a written record returns the same runs, and a line with missing columns is rejected.
func TestRecord(t *testing.T) {
	run, _ := runOf(completeEntry())
	var text bytes.Buffer
	if err := writeRecord(&text, []scoredRun{run}); err != nil {
		t.Fatal(err)
	}
	got, err := readRecord(bytes.NewReader(text.Bytes()))
	if err != nil || !reflect.DeepEqual(got, []scoredRun{run}) {
		t.Errorf("read %+v, error %v", got, err)
	}
	if _, err := readRecord(strings.NewReader("date\nd\n")); err == nil {
		t.Error("a line of one column is accepted")
	}
}
