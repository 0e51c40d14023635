package rules

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"pgregory.net/rapid"

	"sagelever/match"
)

// testMessage is a subject made by hand.
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

// getRequest is a GET of a path with headers, given as names and values in turn.
func getRequest(path string, headers ...string) *testMessage {
	m := &testMessage{texts: map[string]string{"method": "GET", "path": path, "peer": "10.0.0.1"}, sent: match.Pure,
		segments: strings.Split(strings.TrimPrefix(path, "/"), "/"), tables: map[string]map[string][]string{"header": {}}}
	for i := 0; i+1 < len(headers); i += 2 {
		m.tables["header"][headers[i]] = append(m.tables["header"][headers[i]], headers[i+1])
	}
	return m
}

var shop = match.Deployment{Effects: map[string]string{"look": "pure", "keep": "receipted", "once": "effectful"},
	Customers: []string{"ann", "bob"}}

// lenient has no budget to speak of, for what is not about budgets.
const lenient = time.Minute

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

// The first rule that matches decides; what no rule decides is left to the protocol.
func TestFirstRuleWins(t *testing.T) {
	s := compileSet(t, 0,
		Rule{When: `path.startsWith("/api/v2/flags/")`, Workload: `"look"`, Key: `segments[3]`,
			Cost: `hint > duration("0s") ? hint : duration("4ms")`},
		Rule{When: `path.startsWith("/api/")`, Customer: `lower(header["x-org"])`},
		Rule{When: `"beta" in header`, Key: `before(header.beta, ".") + "/" + string(bucket(path, 8))`})
	for _, x := range []struct {
		of   *testMessage
		want match.Judgement
	}{
		{getRequest("/api/v2/flags/f7"), match.Judgement{Rule: "r0", Workload: "look", Key: "f7",
			Cost: 4 * time.Millisecond}},
		{getRequest("/api/v1/x", "x-org", "ANN"), match.Judgement{Rule: "r1", Customer: "ann"}},
		{getRequest("/x", "beta", "b1.2"), match.Judgement{Rule: "r2", Key: "b1/2"}},
		{getRequest("/x"), match.Judgement{}},
	} {
		if got := s.Judge(x.of); got.Refused != nil || got.Rule != x.want.Rule || got.Workload != x.want.Workload ||
			got.Customer != x.want.Customer || got.Cost != x.want.Cost || !strings.HasPrefix(got.Key,
			strings.TrimRight(x.want.Key, "2")) {
			t.Errorf("%s: %+v, want %+v", x.of.texts["path"], got, x.want)
		}
	}
}

// A value that is missing, comes twice or has the wrong type does what the rule says, is counted, and is never guessed.
func TestMissingAndInvalidValues(t *testing.T) {
	for _, x := range []struct {
		rule   Rule
		of     *testMessage
		want   match.Judgement // without a rule: the next one, r1, matched
		refuse string
		errs   int64
	}{
		{Rule{When: `header["x-tier"] == "gold"`, Key: `"g"`}, getRequest("/"), match.Judgement{}, "", 1},
		{Rule{When: `header["x-tier"] == "gold"`, Key: `"g"`, Otherwise: "refuse"}, getRequest("/"), match.Judgement{},
			"no such key", 1},
		{Rule{When: `header["x-tier"] == "gold"`, Key: `"g"`}, getRequest("/", "x-tier", "gold", "x-tier", "tin"),
			match.Judgement{}, "", 1},
		{Rule{When: `header[?"x-tier"].orValue("") == "gold"`, Key: `"g"`}, getRequest("/"), match.Judgement{}, "", 0},
		{Rule{When: `headers[?"x-tier"].orValue([]).exists(x, x == "gold")`, Key: `"g"`}, getRequest("/", "x-tier", "tin",
			"x-tier", "gold"),
			match.Judgement{Rule: "r0", Key: "g"}, "", 0},
		{Rule{When: `int(header["x-n"]) > 3`, Key: `"g"`}, getRequest("/", "x-n", "four"), match.Judgement{}, "", 1},
		{Rule{When: `header[?"x-n"].optFlatMap(n, whole(n)).orValue(9) > 3`, Key: `"g"`}, getRequest("/", "x-n", "four"),
			match.Judgement{Rule: "r0", Key: "g"}, "", 0},
		{Rule{When: `true`, Key: `header["x-k"]`}, getRequest("/"), match.Judgement{}, "", 1},
		{Rule{When: `true`, Key: `header["x-k"]`, Otherwise: `"none"`}, getRequest("/"), match.Judgement{Rule: "r0",
			Key: "none"}, "", 1},
		{Rule{When: `true`, Key: `header["x-k"]`, Otherwise: `"none"`}, getRequest("/", "x-k", ""),
			match.Judgement{Rule: "r0", Key: "none"}, "", 1},
		{Rule{When: `true`, Key: `header["x-k"]`, Otherwise: "refuse"}, getRequest("/", "x-k", strings.Repeat("k",
			MaxKeyLength+1)), match.Judgement{}, errTooLong.Error(), 1},
		{Rule{When: `true`, Key: `header["x-k"]`, Otherwise: "refuse"}, getRequest("/", "x-k", "a\xff"), match.Judgement{},
			errNotPlainText.Error(), 1},
		{Rule{When: `true`, Key: `header["x-k"]`, Otherwise: "refuse"}, getRequest("/", "x-k", "a\x00"), match.Judgement{},
			errNotPlainText.Error(), 1},
		{Rule{When: `true`, Workload: `segments[0]`, Otherwise: "refuse"}, getRequest("/fly"), match.Judgement{},
			"no such workload", 1},
		{Rule{When: `true`, Customer: `segments[0]`}, getRequest("/eve"), match.Judgement{}, "", 1},
		{Rule{When: `true`, Cost: `hint`}, getRequest("/"), match.Judgement{}, "", 1},
		{Rule{When: `segments[1] == "a"`, Key: `"g"`}, getRequest("/x"), match.Judgement{}, "", 1},
	} {
		s := compileSet(t, lenient, x.rule, Rule{When: "true", Key: `"next"`})
		got := s.Judge(x.of)
		want := x.want
		if want.Rule == "" && x.refuse == "" {
			want = match.Judgement{Rule: "r1", Key: "next"}
		}
		if x.refuse != "" {
			if got.Refused == nil || !strings.Contains(got.Refused.Error(), x.refuse) {
				t.Errorf("%+v: %+v, want it refused for %q", x.rule, got, x.refuse)
			}
		} else if (got.Trouble != nil) != (x.errs > 0) {
			t.Errorf("%+v: trouble %v", x.rule, got.Trouble)
		} else if got.Trouble = nil; got != want {
			t.Errorf("%+v: %+v, want %+v", x.rule, got, want)
		}
		if n := s.Rules()[0].Errors; n != x.errs {
			t.Errorf("%+v: %d errors counted, want %d", x.rule, n, x.errs)
		}
	}
}

// No rule makes a message more repeatable than it was sent: what the rules alone show is refused when they are loaded,
// the rest when a message comes.
func TestRuleCannotRaiseRepeatability(t *testing.T) {
	for _, bad := range []Rule{
		{When: `method == "POST"`, Workload: `"look"`},
		{When: `size > 3 && method in ["POST", "PUT"]`, Workload: `"look"`},
		{When: `path.startsWith("/once/")`, Workload: `"look"`},
		{When: `path == "/once"`, Workload: `"keep"`},
		{When: `segments[0] == "keep"`, Workload: `"look"`},
		{When: `segments[0] == "once" || segments[0] == "keep"`, Workload: `"look"`},
	} {
		var fault *RuleError
		if _, err := Compile([]Rule{bad}, shop, lenient); !errors.As(err, &fault) || fault.Field != "workload" {
			t.Errorf("%+v: %v", bad, err)
		}
	}
	s := compileSet(t, 0, Rule{When: `path.startsWith("/a")`, Workload: `segments[1]`},
		Rule{When: `path.startsWith("/on")`, Workload: `"look"`})
	for _, x := range []struct {
		path string
		sent match.Repeatable
		ok   bool
	}{{"/a/look", match.Pure, true}, {"/a/look", match.Receipted, false}, {"/a/look", match.Effectful, false}, {"/a/keep",
		match.Receipted, true},
		{"/a/keep", match.Effectful, false}, {"/a/once", match.Effectful, true}, {"/a/once", match.Pure, true}, {"/one",
			match.Pure, true}, {"/once", match.Effectful, false}} {
		m := getRequest(x.path)
		m.sent = x.sent
		if got := s.Judge(m); (got.Refused == nil) != x.ok || !x.ok && got.Workload != "" {
			t.Errorf("%s sent as %s: %+v", x.path, x.sent, got)
		}
	}
}

// A rule that is wrong, or could stall an agent, is refused when it is loaded, with the place.
func TestCompileErrors(t *testing.T) {
	deep := strings.Repeat("(", 2000) + "true" + strings.Repeat(")", 2000)
	for name, x := range map[string]struct {
		rule  Rule
		field string
		line  int
		text  string
	}{
		"syntax":       {Rule{When: "true &&\n && true", Key: `"k"`}, "when", 2, "Syntax error"},
		"unknown name": {Rule{When: `pth == "/"`, Key: `"k"`}, "when", 1, "undeclared reference"},
		"type":         {Rule{When: `size`, Key: `"k"`}, "when", 1, "where bool is wanted"},
		"mixed types":  {Rule{When: `path == 3`, Key: `"k"`}, "when", 1, "no matching overload"},
		"nothing":      {Rule{When: `true`}, "when", 1, "decides nothing"},
		"no workload":  {Rule{When: `true`, Workload: `"fly"`}, "workload", 1, "no such workload"},
		"empty key":    {Rule{When: `true`, Key: `""`}, "key", 1, "empty"},
		"cost":         {Rule{When: `true`, Cost: `duration("0s")`}, "cost", 1, "a cost of"},
		"nested":       {Rule{When: `path.matches("(a+)+$")`, Key: `"k"`}, "when", 1, "the budget is"},
		"alternation": {Rule{When: `path.matches("` + strings.Repeat("aa|", 500) + `b")`, Key: `"k"`}, "when", 1,
			"the budget is"},
		"repeats":      {Rule{When: `path.matches("((a{1,100}){1,10})")`, Key: `"k"`}, "when", 1, "the budget is"},
		"more repeats": {Rule{When: `path.matches("((a{1,1000}){1,1000})")`, Key: `"k"`}, "when", 1, ""},
		"open pattern": {Rule{When: "true ||\n path.matches(header.p)", Key: `"k"`}, "when", 2, "written out"},
		"built":        {Rule{When: `path.matches("a" + "b")`, Key: `"k"`}, "when", 1, "written out"},
		"three all": {Rule{When: `segments.all(x, segments.all(y, segments.all(z, x == y || y == z)))`, Key: `"k"`}, "when",
			1,
			"the budget is"},
		"doubling": {Rule{When: `true`, Key: strings.Repeat("[",
			1) + `path].map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a)[0]`},
			"key", 1, "the budget is"},
		"contains": {Rule{When: `path.contains(path + path)`, Key: `"k"`}, "when", 1, "the budget is"},
		"deep":     {Rule{When: deep, Key: `"k"`}, "when", 1, ""},
		"1 MB":     {Rule{When: strings.Repeat("true && ", 1<<17) + "true", Key: `"k"`}, "when", 1, "at most"},
		"stand-in of two": {Rule{When: `true`, Key: `"k"`, Customer: `"ann"`, Otherwise: `"x"`}, "otherwise", 1,
			"only where"},
		"stand-in type": {Rule{When: `true`, Key: `"k"`, Otherwise: `3`}, "otherwise", 1, "where string is wanted"},
		"stand-in text": {Rule{When: `true`, Key: `"k"`, Otherwise: `path`}, "otherwise", 1, "a value"},
		"stand-in fits": {Rule{When: `true`, Workload: `segments[0]`, Otherwise: `"fly"`}, "otherwise", 1,
			"no such workload"},
	} {
		began := time.Now()
		_, err := Compile([]Rule{x.rule}, shop, 0)
		var fault *RuleError
		if !errors.As(err, &fault) || fault.Field != x.field || fault.Line != x.line || !strings.Contains(fault.Message,
			x.text) {
			t.Errorf("%s: %v, want %s %d: %s", name, err, x.field, x.line, x.text)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%s: refusing it took %s", name, took)
		}
	}
}

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

// There are few texts, so that rules and messages match.
var texts = rapid.SampledFrom([]string{"", "a", "b", "ab", "abc", "/a", "/a/", "/a/b", "/a/bc", "/b", "GET", "POST",
	"look", "keep", "once", "7"})

// drawCondition draws a condition of some depth.
func drawCondition(t *rapid.T, depth int) string {
	lit := func() string { return fmt.Sprintf("%q", texts.Draw(t, "literal")) }
	text := func() string {
		return rapid.SampledFrom([]string{"method", "path", "peer", `header["x"]`, `header.y`, `header[?"x"].orValue("a")`,
			`query[?"q"].orValue("")`, `cookie["k"]`, `segments[0]`, `segments[1]`, `segments[?1].orValue("b")`,
			"lower(path)"}).Draw(t, "text")
	}
	kinds := 7
	if depth > 0 {
		kinds = 11
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return text() + " == " + lit()
	case 1:
		return lit() + " == " + text()
	case 2:
		return text() + ".startsWith(" + lit() + ")"
	case 3:
		return text() + " in [" + lit() + ", " + lit() + ", " + lit() + "]"
	case 4:
		return "size > 3"
	case 5:
		return `whole(` + text() + `).orValue(3) > 5`
	case 6:
		return `segments.exists(s, s == ` + lit() + `)`
	case 7:
		return "!(" + drawCondition(t, depth-1) + ")"
	case 8, 9:
		return "(" + drawCondition(t, depth-1) + " && " + drawCondition(t, depth-1) + ")"
	default:
		return "(" + drawCondition(t, depth-1) + " || " + drawCondition(t, depth-1) + ")"
	}
}

func drawRule(t *rapid.T) Rule {
	r := Rule{When: drawCondition(t, 3), Otherwise: rapid.SampledFrom([]string{"next", "refuse", ""}).Draw(t, "otherwise")}
	switch rapid.IntRange(0, 2).Draw(t, "output") {
	case 0:
		r.Key = rapid.SampledFrom([]string{"path", `header["x"]`, `path + "/" + method`, `segments[1]`}).Draw(t, "key")
	case 1:
		r.Workload = rapid.SampledFrom([]string{"segments[0]", `header["x"]`, "lower(method)"}).Draw(t, "workload")
	default:
		r.Cost = `duration(header[?"x"].orValue("1") + "s")`
	}
	return r
}

func drawMessage(t *rapid.T) *testMessage {
	m := &testMessage{texts: map[string]string{"method": rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"),
		"path": texts.Draw(t, "path"), "peer": texts.Draw(t, "peer")}, size: int64(rapid.IntRange(0, 9).Draw(t, "size")),
		sent: match.Repeatable(rapid.IntRange(0, 2).Draw(t, "sent")), tables: map[string]map[string][]string{}}
	m.segments = rapid.SliceOfN(texts, 0, 3).Draw(t, "segments")
	for name, keys := range map[string][]string{"header": {"X", "y"}, "query": {"q"}, "cookie": {"k"}} {
		m.tables[name] = map[string][]string{}
		for _, k := range keys {
			if v := rapid.SliceOfN(texts, 0, 2).Draw(t, name); len(v) > 0 {
				m.tables[name][k] = v
			}
		}
	}
	return m
}

// The index saves only rules that would not have matched: it agrees with running all of them in order, errors included.
// What an expression costs when it runs never passes its bound.
func TestIndexAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := rapid.SliceOfN(rapid.Custom(drawRule), 1, 12).Draw(t, "rules")
		for i := range rules {
			rules[i].Name = fmt.Sprint("r", i)
		}
		s, err := Compile(rules, shop, time.Hour)
		var fault *RuleError
		if errors.As(err, &fault) && fault.Field == "workload" { // an effect that the rule would make repeatable
			t.Skip()
		} else if err != nil {
			t.Fatal(err)
		}
		for range 8 {
			m := drawMessage(t)
			all := func(_ *activationView, marks []uint64) {
				for i := range s.rules {
					marks[i/64] |= 1 << (i % 64)
				}
			}
			got, want := s.Judge(m), s.run(m, all, nil)
			if (got.Trouble == nil) != (want.Trouble == nil) {
				t.Fatalf("%+v\nby index %v\nin order %v", m, got.Trouble, want.Trouble)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%+v\nby index %+v\nin order %+v", m, got, want)
			}
			for _, r := range s.rules {
				for _, f := range append(r.outputs[:], r.when) {
					if f == nil {
						continue
					}
					if spent, err := evaluationCost(f, m); spent > f.maxCost {
						t.Fatalf("%s cost %d, its bound is %d, %v", f.text, spent, f.maxCost, err)
					}
				}
			}
		}
	})
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
			m.segments = make([]string,
				MaxSegments+1)
		},
		"header has too many names":                             func(m *testMessage) { m.tables["header"] = many },
		"query has too long a value":                            func(m *testMessage) { m.tables["query"] = map[string][]string{"q": {long}} },
		"cookie has too long a name, or too many values of one": func(m *testMessage) { m.tables["cookie"] = map[string][]string{long: {"v"}} },
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

// Explain tells which rules were run, and Rules the state of each.
func TestExplain(t *testing.T) {
	s := compileSet(t, 0, Rule{When: `path == "/a"`, Key: `"a"`}, Rule{When: `int(header["x"]) > 3`, Key: `"b"`},
		Rule{When: `path == "/b"`, Key: `"c"`})
	j, steps := s.Explain(getRequest("/b"))
	if j.Rule != "r2" || len(steps) != 2 || steps[0].Rule != "r1" || steps[0].Err == nil || steps[0].Matched ||
		!steps[1].Matched {
		t.Errorf("%+v, %+v", j, steps)
	}
	states := s.Rules()
	if states[0].IndexedBy != "path" || states[1].IndexedBy != "" || states[1].Errors != 1 ||
		states[2].Outputs != "key string" || states[0].Bound <= 0 {
		t.Errorf("%+v", states)
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

// A header's name is the same in any case, a parameter's is not.
func TestCase(t *testing.T) {
	m := getRequest("/", "X-Tier", "gold")
	m.tables["query"] = map[string][]string{"Q": {"1"}}
	for when, want := range map[string]bool{`header["x-tier"] == "gold"`: true, `header["X-TIER"] == "gold"`: true,
		`headers["x-tier"] == ["gold"] && header.all(n, n == "x-tier")`: true, `"q" in query`: false, `"Q" in query`: true} {
		if got := compileSet(t, lenient, Rule{When: when, Key: `"k"`}).Judge(m); (got.Rule != "") != want {
			t.Errorf("%s: %+v", when, got)
		}
	}
}
