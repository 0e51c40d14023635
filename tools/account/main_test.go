package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The counters of two agents are summed by interval. Other lines are ignored, and logs without account lines are an
// error.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	writeLog := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first := writeLog("one", "time=2026-01-01T00:00:00.5Z level=INFO event=account satisfied=3 dials=1\n"+
		"time=2026-01-01T00:00:06Z level=INFO event=account satisfied=4\n"+
		"time=2026-01-01T00:00:06.2Z level=INFO event=module text=\"vote on: build 2\"\nno line\n")
	second := writeLog("two", "time=2026-01-01T00:00:01Z level=INFO event=account satisfied=2\n"+
		"time=2026-01-01T00:00:01Z level=WARN event=stream_ended satisfied=100\n")
	var out strings.Builder
	if err := report(&out, []string{first, second}, 5*time.Second, true); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 4 || !strings.HasSuffix(lines[0], `"vote on: build 2"`) ||
		strings.Join(strings.Fields(lines[2]), " ") != "dials 1 0" ||
		strings.Join(strings.Fields(lines[3]), " ") != "satisfied 5 4" {
		t.Errorf("printed\n%s", out.String())
	}
	if err := report(&out, []string{writeLog("none", "x\n")}, time.Second, false); err == nil {
		t.Error("a log without an account line is accepted")
	}
}
