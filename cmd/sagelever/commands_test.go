package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	config := filepath.Join(t.TempDir(), "config.json")
	text := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"classes":[{"name":"c"}]}}`
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("GW_CONFIG", "")
	for line, want := range map[string]struct{ output, err string }{
		"version":                  {"sagelever " + version, ""},
		"--help":                   {"Usage:", ""},
		"check --config " + config: {"nothing wrong", ""},
		"check -c /nowhere/c.json": {"", "no such file"},
		"check":                    {"", "no configuration"},
		"fly":                      {"", "unknown command"},
		"":                         {"Usage:", ""},
		"check serve -c " + config: {"", "unknown command"},
		"version --speed 3":        {"", "unknown flag"},
	} {
		var out strings.Builder
		err := run(strings.Fields(line), strings.NewReader(""), &out)
		if !strings.Contains(out.String(), want.output) || (err == nil) != (want.err == "") ||
			err != nil && !strings.Contains(err.Error(), want.err) {
			t.Errorf("%q: %q, %v, want %q", line, out.String(), err, want)
		}
	}
}
