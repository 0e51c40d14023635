package main

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

// A fall, a broken rule and a module that was not scored are each told; what was played on other days is no best.
func TestFindings(t *testing.T) {
	run := func(site, days, module, rules string, score float64) scoredRun {
		return scoredRun{date: "d", site: site, bench: "simulated", kind: "quick", score: score, days: days, module: module, rules: rules}
	}
	record := []scoredRun{run("a", "old", "m", "kept", 0.99), run("a", "new", "m", "kept", 0.50), run("a", "new", "m", "kept", 0.46),
		run("b", "new", "m", "kept", 0.50), run("b", "new", "m", "kept", 0.48), run("c", "new", "before", "day own", 0.7)}
	got := findings(record, "m")
	if len(got) != 3 {
		t.Fatalf("%d lines: %q", len(got), got)
	}
	for i, want := range []string{"FALLEN by 0.040 from 0.500", "", "RULES: day own  not scored since"} {
		if !strings.Contains(got[i], want) || want == "" && strings.ContainsAny(got[i], "FRn") {
			t.Errorf("line %d is %q, %q wanted", i, got[i], want)
		}
	}
}

// What is written is read back, and a line that is cut is refused.
func TestRecord(t *testing.T) {
	zero := 0.0
	s := journalEntry{ID: "x", Cmd: "real-score", Site: "s", Panel: "real:1:quick", Head: "0123456789", Dirty: true, Sim: true, OK: true,
		At: []string{"d"}}
	s.Policy = append(s.Policy, struct{ Sha256 string }{"0123456789abcdef"})
	s.Figures.Real = &zero
	f, ok := runOf(s)
	if !ok || f.kind != "quick" || f.bench != "sockets" || f.commit != "0123456+" {
		t.Errorf("%v %+v", ok, f)
	}
	for panel, want := range map[string]string{"real:k:1:herd+vast,zone+vast:quick": "fleet",
		"mass:k:1:calm+mass,herd+mass:quick": "standing"} {
		s.Panel = panel
		if f, _ := runOf(s); f.bench != want {
			t.Errorf("panel %s is of bench %s, %s wanted", panel, f.bench, want)
		}
	}
	failed, passed := 0.0, 1.0
	s.Days = append(s.Days, struct {
		Name  string
		Fault *string
		Rules map[string]float64
		Gate  any
	}{"soak", nil, map[string]float64{"lost": 4, "own": 0}, "lost"})
	s.Figures.Gate = &failed
	if f, _ := runOf(s); f.rules != "GATE FAILED; soak gate: lost; soak lost" {
		t.Errorf("a failed gate is told as %q", f.rules)
	}
	s.Days, s.Figures.Gate = nil, &passed
	if f, _ := runOf(s); f.rules != "kept" {
		t.Errorf("a passed gate is told as %q", f.rules)
	}
	s.Figures.Gate = nil
	if s.Sim = false; func() bool { _, ok := runOf(s); return ok }() {
		t.Error("another's adapter is in the record")
	}
	var text bytes.Buffer
	if err := writeRecord(&text, []scoredRun{f}); err != nil {
		t.Fatal(err)
	}
	got, err := readRecord(bytes.NewReader(text.Bytes()))
	if err != nil || !reflect.DeepEqual(got, []scoredRun{f}) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := readRecord(strings.NewReader("date\nd\n")); err == nil {
		t.Error("a line of one column was read")
	}
}
