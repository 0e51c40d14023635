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

// Cheap rules are rejected if one message can require too many of them.
func TestSetBudget(t *testing.T) {
	many := func(n int, when func(int) string) (list []Rule) {
		for i := range n {
			list = append(list, Rule{Name: fmt.Sprint("r", i), When: when(i), Key: `"k"`})
		}
		return list
	}
	for name, test := range map[string]struct {
		rules    []Rule
		accepted bool
	}{
		"literal rules": {many(1000, func(i int) string { return fmt.Sprintf(`path.startsWith("/p%d/")`, i) }),
			true},
		"ten thousand": {many(MaxRules, func(i int) string { return fmt.Sprintf(`path == "/p%d"`, i) }), true},
		"optional headers": {many(1000,
			func(i int) string { return fmt.Sprintf(`header[?"x-a"].orValue("") == "v%d" && size > 3`, i) }), true},
		"required headers": {many(1000, func(i int) string { return fmt.Sprintf(`header["x-a"] == "v%d"`, i) }), false},
		"no literal":       {many(100, func(i int) string { return fmt.Sprintf(`size > %d`, i) }), false},
		"each a prefix of the next": {many(200, func(i int) string {
			return fmt.Sprintf(`path.startsWith(%q)`,
				strings.Repeat("a", i))
		}), false},
	} {
		s, err := Compile(test.rules, shop, 0)
		var budgetError *BudgetError
		if (err == nil) != test.accepted || err != nil && (!errors.As(err, &budgetError) ||
			budgetError.Bound <= budgetError.Budget || len(budgetError.Rules) == 0) {
			t.Errorf("%s: unexpected result of Compile: %v", name, err)
		}
		if err == nil && s.Bound() > DefaultBudget {
			t.Errorf("%s: bound %s exceeds the budget", name, s.Bound())
		}
	}
	if _, err := Compile(many(MaxRules+1, func(int) string { return "true" }), shop, lenient); err == nil {
		t.Error("too many rules were accepted")
	}
}

// evaluationCost evaluates an expression and returns its actual cost. It tracks the cost of expressions without loops,
// too.
func evaluationCost(x *expression, m match.Subject) (units uint64, err error) {
	env, _ := language()
	patterns, _ := patternsIn(x.ast)
	program, err := env.Program(x.ast, cel.CostTracking(patterns))
	if err != nil {
		return 0, err
	}
	_, details, err := program.Eval(&activationView{subject: m})
	if details != nil && details.ActualCost() != nil {
		units = *details.ActualCost()
	}
	return units, err
}

// A loop that exceeds its cost bound is stopped with an error. This limits the damage of a bound that is too low.
func TestLoopIsStopped(t *testing.T) {
	env, _ := language()
	loop, compileError := compileExpression(`segments.all(s, s != "none")`, boolType)
	if compileError != nil {
		t.Fatal(compileError)
	}
	loop.program, _ = env.Program(loop.ast, cel.CostLimit(20))
	if _, err := loop.eval(&activationView{subject: largestMessage()}); err == nil || !strings.Contains(err.Error(),
		"cost limit") {
		t.Errorf("error %v, want the cost limit to stop the loop", err)
	}
	if loop, _ := compileExpression(
		`segments.all(s, s.matches("^[0-9]{1,40}$"))`, boolType); loop.maxIterations != MaxSegments {
		t.Errorf("at most %d iterations, want one per segment", loop.maxIterations)
	} else if got, err := loop.eval(&activationView{subject: largestMessage()}); err != nil || got != types.True {
		t.Errorf("%v, %v, want true", got, err)
	}
}

// Evaluating accepted expressions for the largest message costs no more units than their bounds.
func TestCostWithinBound(t *testing.T) {
	m := largestMessage()
	for _, text := range expensive {
		condition, compileError := compileExpression(text, boolType)
		if compileError != nil {
			t.Fatalf("%s: %v", text, compileError)
		}
		if got, err := evaluationCost(condition, m); err != nil || got > condition.maxCost ||
			condition.maxCost == math.MaxUint64 {
			t.Errorf("%s cost %d units, want at most %d (error %v)", text, got, condition.maxCost, err)
		}
	}
}

// A message is rejected if a rule reads an attribute that exceeds its maximum size.
func TestTooLarge(t *testing.T) {
	s := compileSet(t, lenient,
		Rule{When: `path == "x" || segments.size() > 90 || "h" in header || "h" in query || "h" in cookie`, Key: `"k"`})
	long := strings.Repeat("x", MaxTextLength+1)
	many := map[string][]string{}
	for i := range MaxNames + 1 {
		many[fmt.Sprint(i)] = []string{"v"}
	}
	for want, change := range map[string]func(*testMessage){
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
		if change(m); s.Judge(m).Refused == nil || s.Judge(m).Refused.Error() != want {
			t.Errorf("want it rejected with %q, got %+v", want, s.Judge(m))
		}
	}
	if s.Judge(getRequest("/")).Refused != nil {
		t.Error("a small message is rejected")
	}
	m := getRequest("/")
	m.tables["cookie"] = many
	if j := compileSet(t, 0, Rule{When: `path == "/"`, Key: `"k"`}).Judge(m); j.Refused != nil || j.Key != "k" {
		t.Errorf("%+v, want an oversized attribute ignored that no rule reads", j)
	}
}

// The message of WorstCaseSubject requires the most expensive rules.
func TestWorstCaseSubject(t *testing.T) {
	s := compileSet(t, 0, Rule{When: `path == "/cheap"`, Key: `"a"`},
		Rule{When: `path.startsWith("/expensive") && lower(path) == "x"`, Key: `"b"`},
		Rule{When: `header[?"x"].orValue("") == "y" && size < 0`, Key: `"c"`})
	if _, steps := s.Explain(s.WorstCaseSubject()); len(steps) != 2 || steps[0].Rule != "r1" || steps[1].Rule != "r2" {
		t.Errorf("%+v", steps)
	}
}
