//go:build !lean

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const sampleConfig = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{
	"classes":[{"name":"look","semantics":"free"},{"name":"once","semantics":"single_shot"}]}}`

// writeFiles writes a configuration and an operator's file. It returns the path of the operator's file and the flags
// for the configuration.
func writeFiles(t *testing.T, rules string) (operatorPath string, configFlags []string) {
	t.Helper()
	dir := t.TempDir()
	operatorPath = filepath.Join(dir, "operator.ini")
	configPath := filepath.Join(dir, "config.json")
	texts := map[string]string{operatorPath: rules, configPath: sampleConfig}
	for path, text := range texts {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return operatorPath, []string{"--config", configPath}
}

const sampleRules = "[rule api]\nwhen = path.startsWith(\"/api/\")\nworkload = segments[1]\notherwise = refuse\n" +
	"[rule tier]\nwhen = header[\"x-tier\"] == \"gold\"\nkey = \"gold\"\n"

func TestMatchCommands(t *testing.T) {
	file, config := writeFiles(t, sampleRules)
	runWith := func(in string, args ...string) (string, error) {
		var out strings.Builder
		err := run(append(args, config...), strings.NewReader(in), &out)
		return out.String(), err
	}
	check := []string{"match", "check", file}
	explain := []string{"match", "explain", file}
	bench := []string{"match", "bench", file}
	for _, test := range []struct {
		in   string
		args []string
		want []string
	}{
		{"", check, []string{"api", "workload string", "path", `header["x-tier"]`, "2 rules; one message takes"}},
		{"GET /api/look/x HTTP/1.1\r\n\r\n", explain, []string{"api matches", `workload = "look"`, "at most"}},
		{"GET /api/fly HTTP/1.1\r\n\r\n", explain,
			[]string{"api matches: no such workload", "refused: rule api: no such workload"}},
		{"POST /api/look HTTP/1.1\r\n\r\n", explain,
			[]string{"refused: rule api makes look (pure) of what was sent as effectful"}},
		{"GET /once/1 HTTP/1.1\r\n\r\n", explain, []string{"tier does not match: no such key", "no rule matches"}},
		{"", bench, []string{"the most expensive message takes", "bound"}},
		{"", []string{"check", "--operator", file}, []string{"config.json: nothing wrong", "operator.ini: nothing wrong"}},
	} {
		out, err := runWith(test.in, test.args...)
		if err != nil {
			t.Errorf("%v: %v", test.args, err)
		}
		for _, want := range test.want {
			if !strings.Contains(out, want) {
				t.Errorf("%v: %q is not in\n%s", test.args, want, out)
			}
		}
	}
	for in, args := range map[string][]string{"": explain, "GET\r\n\r\n": explain, "x": {"match", "check"}} {
		if _, err := runWith(in, args...); err == nil {
			t.Errorf("%v accepted %q", args, in)
		}
	}
}

func TestMatchCommandsPrintJSON(t *testing.T) {
	file, config := writeFiles(t, sampleRules)
	runJSON := func(in, name string) string {
		t.Helper()
		var out strings.Builder
		err := run(append([]string{"match", name, "--json", file}, config...), strings.NewReader(in), &out)
		if err != nil || !json.Valid([]byte(out.String())) {
			t.Errorf("%s: %v, %s", name, err, out.String())
		}
		return out.String()
	}
	runJSON("", "check")
	runJSON("", "bench")
	var result explanation
	text := runJSON("GET /x HTTP/1.1\r\nX-Tier: gold\r\n\r\n", "explain")
	if err := json.Unmarshal([]byte(text), &result); err != nil {
		t.Fatal(err)
	}
	if result.Key != "gold" || len(result.Evaluated) != 1 || !result.Evaluated[0].Matched || result.MaxTime <= 0 {
		t.Errorf("%s", text)
	}
}

// An error is printed with its position, its line and a caret below the column.
func TestPrintError(t *testing.T) {
	file, config := writeFiles(t, "[match]\nbudgte = 1us\n[rule a]\nwhen = true\nkey = pth\n")
	var out bytes.Buffer
	printError(&out, run(append([]string{"match", "check", file}, config...), nil, &bytes.Buffer{}))
	if want := file + ":2:1: no such field: budgte\nbudgte = 1us\n^\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}

// A pipe is rejected, as reading it would wait for a writer and block all later reloads.
func TestPipeIsRefused(t *testing.T) {
	pipe := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Skip(err)
	}
	done := make(chan error, 1)
	go func() { _, err := readOperatorFile(pipe); done <- err }()
	select {
	case err := <-done:
		if err == nil {
			t.Error("a pipe was read")
		}
	case <-time.After(10 * time.Second):
		t.Error("reading waited for a writer")
	}
}

// ruleAgent is an agent in the test process with rules from an operator's file.
type ruleAgent struct {
	t            *testing.T
	address      string
	operatorPath string
	ended        chan error
	requests     atomic.Int64
}

func startRuleAgent(t *testing.T, rules string) *ruleAgent {
	t.Helper()
	operatorPath, configFlags := writeFiles(t, rules)
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved.Close()
	agent := &ruleAgent{
		t:            t,
		address:      reserved.Addr().String(),
		operatorPath: operatorPath,
		ended:        make(chan error, 1),
	}
	files := fileSource{configFlags[1], operatorPath}
	station, err := files.readStation()
	if err != nil {
		t.Fatal(err)
	}
	station.Listen = agent.address
	if station.Rules, err = files.rules(station); err != nil {
		t.Fatal(err)
	}
	go func() { agent.ended <- serve(station, files, textFormat) }()
	return agent
}

// status sends a request and returns the status of the response, or 0 if there is none.
func (a *ruleAgent) status(path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+a.address+path, nil)
	if err != nil {
		a.t.Error(err)
		return 0
	}
	request.Header.Set("Request-Id", fmt.Sprint(a.requests.Add(1)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// awaitStatus sends requests until the response has the wanted status.
func (a *ruleAgent) awaitStatus(path string, want int) {
	a.t.Helper()
	for range 1000 { // ten seconds at most; the result does not depend on it
		if a.status(path) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	a.t.Fatalf("%s: no response with status %d", path, want)
}

// sendUntil sends requests until ctx is canceled. Each must be deferred, as there is no backend.
func (a *ruleAgent) sendUntil(ctx context.Context) {
	for ctx.Err() == nil {
		if got := a.status("/look/on"); got != http.StatusServiceUnavailable {
			a.t.Errorf("a request under load got %d", got)
			return
		}
	}
}

// replaceOperatorFile removes the operator's file, calls create with its path and triggers a reload.
func (a *ruleAgent) replaceOperatorFile(create func(path string) error) {
	a.t.Helper()
	if err := os.Remove(a.operatorPath); err != nil {
		a.t.Fatal(err)
	}
	if err := create(a.operatorPath); err != nil {
		a.t.Fatal(err)
	}
	signalSelf(a.t, syscall.SIGHUP)
}

// Rules are reloaded under load. A file that is invalid, missing or a pipe leaves the old rules in force, and an empty
// one removes them. During the reloads, no request is lost or gets a status that neither rule set produces.
func TestRulesReloaded(t *testing.T) {
	const stopRule = "[rule stop]\nwhen = segments[1] == \"stop\"\nkey = header[\"x-none\"]\notherwise = refuse\n"
	const otherStopRule = "[rule stop]\nwhen = path == \"/look/stop\"\nkey = segments[9]\notherwise = refuse\n"
	agent := startRuleAgent(t, stopRule)
	agent.awaitStatus("/_health", http.StatusOK)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for range 4 {
		load.Go(func() { agent.sendUntil(ctx) })
	}
	agent.awaitStatus("/look/stop", http.StatusBadRequest)
	writeText := func(text string) func(path string) error {
		return func(path string) error { return os.WriteFile(path, []byte(text), 0o600) }
	}
	for _, test := range []struct {
		name   string
		create func(path string) error
	}{
		{"invalid", writeText("[rule x]\nwhen = pth\nkey = \"k\"\n")},
		{"a pipe", func(path string) error { return syscall.Mkfifo(path, 0o600) }},
		{"missing", func(path string) error { return nil }},
	} {
		agent.replaceOperatorFile(test.create)
		time.Sleep(30 * time.Millisecond) // lets a wrong reload show; the result does not depend on it
		if got := agent.status("/look/stop"); got != http.StatusBadRequest {
			t.Errorf("after a file that is %s: %d", test.name, got)
		}
	}
	for _, step := range []struct {
		rules string
		want  int
	}{
		{"", http.StatusServiceUnavailable},
		{otherStopRule, http.StatusBadRequest},
	} {
		if err := writeText(step.rules)(agent.operatorPath); err != nil {
			t.Fatal(err)
		}
		signalSelf(t, syscall.SIGHUP)
		agent.awaitStatus("/look/stop", step.want)
	}
	stop()
	load.Wait()
	signalSelf(t, syscall.SIGTERM)
	if err := <-agent.ended; err != nil {
		t.Error(err)
	}
}
