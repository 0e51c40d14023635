package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sagelever/match"
)

// testMessage is a match.Subject with explicit attributes.
type testMessage struct {
	texts    map[string]string
	segments []string
	tables   map[string]map[string][]string
	size     int64
	hint     time.Duration
	sent     match.Repeatable
}

func (m *testMessage) Text(name string) string { return m.texts[name] }
func (m *testMessage) Segments() []string      { return m.segments }
func (m *testMessage) Table(name string) match.Table {
	return match.Table{Of: m.tables[name], Fold: name == "header"}
}
func (m *testMessage) Size() int64            { return m.size }
func (m *testMessage) Hint() time.Duration    { return m.hint }
func (m *testMessage) Sent() match.Repeatable { return m.sent }

// getRequest returns a GET request for a path, with headers given as alternating names and values.
func getRequest(path string, headers ...string) *testMessage {
	m := &testMessage{texts: map[string]string{"method": "GET", "path": path, "peer": "10.0.0.1"}, sent: match.Pure,
		segments: strings.Split(strings.TrimPrefix(path, "/"), "/"), tables: map[string]map[string][]string{"header": {}}}
	for i := 0; i+1 < len(headers); i += 2 {
		m.tables["header"][headers[i]] = append(m.tables["header"][headers[i]], headers[i+1])
	}
	return m
}

// shop is the deployment of all tests.
var shop = match.Deployment{Effects: map[string]string{"look": "pure", "keep": "receipted", "once": "effectful"},
	Customers: []string{"ann", "bob"}}

// lenient is a budget that no rule exceeds, for tests that are not about budgets.
const lenient = time.Minute

// compileSet compiles rules for the deployment shop, and names them r0, r1 and so on.
func compileSet(t testing.TB, budget time.Duration, rules ...Rule) *Set {
	t.Helper()
	for i := range rules {
		rules[i].Name = fmt.Sprint("r", i)
	}
	s, err := Compile(rules, shop, budget)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
