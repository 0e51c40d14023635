package rules

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"

	"sagelever/match"
)

// Rules that are cheap each are refused if one message may have to run through too many.
func TestSetBudget(t *testing.T) {
	many := func(n int, when func(int) string) (list []Rule) {
		for i := range n {
			list = append(list, Rule{Name: fmt.Sprint("r", i), When: when(i), Key: `"k"`})
		}
		return list
	}
	for name, x := range map[string]struct {
		rules []Rule
		ok    bool
	}{
		"literal rules": {many(1000, func(i int) string { return fmt.Sprintf(`path.startsWith("/p%d/")`, i) }),
			true},
		"ten thousand": {many(MaxRules, func(i int) string { return fmt.Sprintf(`path == "/p%d"`, i) }), true},
		"optional headers": {many(1000,
			func(i int) string { return fmt.Sprintf(`header[?"x-a"].orValue("") == "v%d" && size > 3`, i) }), true},
		"headers, an error each": {many(1000, func(i int) string { return fmt.Sprintf(`header["x-a"] == "v%d"`, i) }), false},
		"no literal":             {many(100, func(i int) string { return fmt.Sprintf(`size > %d`, i) }), false},
		"one within the next": {many(200, func(i int) string {
			return fmt.Sprintf(`path.startsWith(%q)`,
				strings.Repeat("a", i))
		}), false},
	} {
		s, err := Compile(x.rules, shop, 0)
		var expensive *BudgetError
		if (err == nil) != x.ok || err != nil && (!errors.As(err, &expensive) || expensive.Bound <= expensive.Budget ||
			len(expensive.Rules) == 0) {
			t.Errorf("%s: %v", name, err)
		}
		if err == nil && s.Bound() > DefaultBudget {
			t.Errorf("%s: bound %s", name, s.Bound())
		}
	}
	if _, err := Compile(many(MaxRules+1, func(int) string { return "true" }), shop, lenient); err == nil {
		t.Error("too many rules were accepted")
	}
}

// evaluationCost runs an expression and counts its cost, whether or not it loops.
func evaluationCost(f *expression, m match.Subject) (units uint64, err error) {
	env, _ := language()
	patterns, _ := patternsIn(f.ast)
	run, err := env.Program(f.ast, cel.CostTracking(patterns))
	if err != nil {
		return 0, err
	}
	_, details, err := run.Eval(&activationView{subject: m})
	if details != nil && details.ActualCost() != nil {
		units = *details.ActualCost()
	}
	return units, err
}

// A loop that costs more than its bound is stopped, and its rule has an error, in case a bound is wrong.
func TestLoopIsStopped(t *testing.T) {
	env, _ := language()
	f, fault := compileExpression(`segments.all(s, s != "none")`, boolType)
	if fault != nil {
		t.Fatal(fault)
	}
	f.program, _ = env.Program(f.ast, cel.CostLimit(20))
	if _, err := f.eval(&activationView{subject: largestMessage()}); err == nil || !strings.Contains(err.Error(),
		"cost limit") {
		t.Errorf("it ran to its end: %v", err)
	}
	if f, _ := compileExpression(`segments.all(s, s.matches("^[0-9]{1,40}$"))`, boolType); f.maxRounds != MaxSegments {
		t.Errorf("%d rounds", f.maxRounds)
	} else if got, err := f.eval(&activationView{subject: largestMessage()}); err != nil || got != types.True {
		t.Errorf("%v, %v", got, err)
	}
}

// The most expensive message within the limits stays within the bound of whatever was accepted, in units.
func TestCostWithinBound(t *testing.T) {
	m := largestMessage()
	for _, text := range expensive {
		f, fault := compileExpression(text, boolType)
		if fault != nil {
			t.Fatalf("%s: %v", text, fault)
		}
		if got, err := evaluationCost(f, m); err != nil || got > f.maxCost || f.maxCost == math.MaxUint64 {
			t.Errorf("%s cost %d, its bound is %d, %v", text, got, f.maxCost, err)
		}
	}
}

// What is larger than the bounds were computed with reaches no rule that asks for it, and is refused.
func TestTooLarge(t *testing.T) {
	s := compileSet(t, lenient,
		Rule{When: `path == "x" || segments.size() > 90 || "h" in header || "h" in query || "h" in cookie`, Key: `"k"`})
	long := strings.Repeat("x", MaxTextLength+1)
	many := map[string][]string{}
	for i := range MaxNames + 1 {
		many[fmt.Sprint(i)] = []string{"v"}
	}
	for what, change := range map[string]func(*testMessage){
		"path is too long": func(m *testMessage) { m.texts["path"] = long },
		"path has too many segments": func(m *testMessage) {
			m.segments = make([]string, MaxSegments+1)
		},
		"header has too many names": func(m *testMessage) { m.tables["header"] = many },
		"query has too long a value": func(m *testMessage) {
			m.tables["query"] = map[string][]string{"q": {long}}
		},
		"cookie has too long a name, or too many values of one": func(m *testMessage) {
			m.tables["cookie"] = map[string][]string{long: {"v"}}
		},
		"header has too long a name, or too many values of one": func(m *testMessage) {
			m.tables["header"] = map[string][]string{"x": make([]string, MaxValues+1)}
		},
	} {
		m := getRequest("/")
		if change(m); s.Judge(m).Refused == nil || s.Judge(m).Refused.Error() != what {
			t.Errorf("want %q, got %+v", what, s.Judge(m))
		}
	}
	if s.Judge(getRequest("/")).Refused != nil {
		t.Error("a small message is refused")
	}
	m := getRequest("/")
	m.tables["cookie"] = many
	if j := compileSet(t, 0, Rule{When: `path == "/"`, Key: `"k"`}).Judge(m); j.Refused != nil || j.Key != "k" {
		t.Errorf("refused for what no rule asks for: %+v", j)
	}
}

// The message made for timing runs into the most expensive rules.
func TestWorstCaseSubject(t *testing.T) {
	s := compileSet(t, 0, Rule{When: `path == "/cheap"`, Key: `"a"`},
		Rule{When: `path.startsWith("/expensive") && lower(path) == "x"`, Key: `"b"`},
		Rule{When: `header[?"x"].orValue("") == "y" && size < 0`, Key: `"c"`})
	if _, steps := s.Explain(s.WorstCaseSubject()); len(steps) != 2 || steps[0].Rule != "r1" || steps[1].Rule != "r2" {
		t.Errorf("%+v", steps)
	}
}
