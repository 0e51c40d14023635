package server

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sagelever/internal/control/message"
	"sagelever/internal/rpc"
)

// stringConstants returns the values of the string constants that the Go files of a directory declare, by name.
func stringConstants(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	constants := map[string]string{}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(node ast.Node) bool {
			addStringConstants(node, constants)
			return true
		})
	}
	return constants
}

// addStringConstants adds the string constants that a node declares, if it is a declaration.
func addStringConstants(node ast.Node, constants map[string]string) {
	spec, ok := node.(*ast.ValueSpec)
	if !ok || len(spec.Values) != len(spec.Names) {
		return
	}
	for i, name := range spec.Names {
		literal, ok := spec.Values[i].(*ast.BasicLit)
		if ok && literal.Kind == token.STRING {
			constants[name.Name], _ = strconv.Unquote(literal.Value) // the parser accepts only valid literals
		}
	}
}

// Guards against a message that the replica sends and no controller serves: each path of package message is served to
// another controller over HTTP.
func TestEveryPathIsServed(t *testing.T) {
	t.Parallel()
	cluster := newStartedCluster(t)
	paths := 0
	for name, path := range stringConstants(t, "../message") {
		if !strings.HasSuffix(name, "Path") {
			continue
		}
		paths++
		client := cluster.running[1].peerClient
		err := rpc.Post(t.Context(), client, cluster.running[0].self.Addr, path, []byte("{}"), nil)
		if status, ok := errors.Into[*rpc.StatusError](err); ok && status.Code == http.StatusNotFound {
			t.Errorf("%s: %v", name, err)
		} else if err != nil && !ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	if paths < len(message.ReplicaPaths()) {
		t.Errorf("only %d paths are declared", paths)
	}
}

// Guards against an API call that is declared and not served: each one is answered by its own handler.
func TestEveryCallIsServed(t *testing.T) {
	t.Parallel()
	const notFoundText = "404 page not found" // of the router
	cluster := newStartedCluster(t)
	names := stringConstants(t, "../calls")
	if len(names) == 0 {
		t.Fatal("no call is declared")
	}
	for name, call := range names {
		status, text := cluster.call(0, call, "{}")
		if status == 0 || status == http.StatusMethodNotAllowed || strings.Contains(text, notFoundText) {
			t.Errorf("%s: %d %s", name, status, text)
		}
	}
	if _, text := cluster.call(0, "no.such.call", "{}"); !strings.Contains(text, notFoundText) {
		t.Errorf("an unknown call gets %q", text)
	}
}

// A member that does not serve a path is logged once, and again only after it has served the path in between. The
// counts tell the results apart.
func TestUnservedPathIsLoggedOnce(t *testing.T) {
	core, logs := observer.New(zap.WarnLevel)
	calls := peerCallLog{log: zap.New(core)}
	member := message.Member{Node: "n1"}
	unserved := &rpc.StatusError{Code: http.StatusNotFound}
	for _, err := range []error{unserved, unserved, nil, unserved, &rpc.StatusError{Code: 503}, context.DeadlineExceeded} {
		calls.record(member, message.ConfirmPath, err)
	}
	if logs.Len() != 2 {
		t.Errorf("%d lines: %v", logs.Len(), logs.All())
	}
	want := peerCallCounts{sent: 6, answered: 1, refused: 4}
	if got := *calls.counts[peerCall{"n1", message.ConfirmPath}]; got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}
