package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	good := filepath.Join(t.TempDir(), "config.json")
	text := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"c"}]}}`
	if err := os.WriteFile(good, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", "")
	for line, want := range map[string][2]string{
		"version":                  {"sagelever " + version, ""},
		"--help":                   {"usage:", ""},
		"check --config " + good:   {"nothing wrong", ""},
		"check -c /nowhere/c.json": {"", "no such file"},
		"check":                    {"", "no configuration"},
		"fly":                      {"", "no such command"},
		"":                         {"usage:", "a command is missing"},
		"check serve -c " + good:   {"", "more than one command"},
		"version --speed 3":        {"", "unknown flag"},
	} {
		var out strings.Builder
		err := run(strings.Fields(line), &out)
		if !strings.Contains(out.String(), want[0]) || (err == nil) != (want[1] == "") ||
			err != nil && !strings.Contains(err.Error(), want[1]) {
			t.Errorf("%q: %q, %v, want %q", line, out.String(), err, want)
		}
	}
}

// slowReader takes one line and then nothing until it is let go.
type slowReader struct {
	began chan bool
	let   chan bool
	got   strings.Builder
}

func (s *slowReader) Write(p []byte) (int, error) {
	if s.got.Len() == 0 {
		s.began <- true
		<-s.let
	}
	return s.got.Write(p)
}

func TestLogHoldsNothingUp(t *testing.T) {
	r := &slowReader{began: make(chan bool), let: make(chan bool)}
	l := startLog(r)
	l.Write([]byte("first\n"))
	<-r.began
	for range mostLines + 5 {
		l.Write([]byte("more\n")) // would never return if it waited
	}
	close(r.let)
	l.flush()
	if got := strings.Count(r.got.String(), "more"); got != mostLines || !strings.HasPrefix(r.got.String(), "first") {
		t.Errorf("%d lines after the first, want %d", got, mostLines)
	}
}
