package rules

import (
	"errors"
	"strings"
	"testing"
	"time"

	"sagelever/match"
)

// The first rule that matches sets the outputs; outputs that no rule sets are left to the protocol.
func TestFirstRuleWins(t *testing.T) {
	s := compileSet(t, 0,
		Rule{When: `path.startsWith("/api/v2/flags/")`, Workload: `"look"`, Key: `segments[3]`,
			Cost: `hint > duration("0s") ? hint : duration("4ms")`},
		Rule{When: `path.startsWith("/api/")`, Customer: `lower(header["x-org"])`},
		Rule{When: `"beta" in header`, Key: `before(header.beta, ".") + "/" + string(bucket(path, 8))`})
	for _, test := range []struct {
		message *testMessage
		want    match.Judgement
	}{
		{getRequest("/api/v2/flags/f7"), match.Judgement{Rule: "r0", Workload: "look", Key: "f7",
			Cost: 4 * time.Millisecond}},
		{getRequest("/api/v1/x", "x-org", "ANN"), match.Judgement{Rule: "r1", Customer: "ann"}},
		{getRequest("/x", "beta", "b1.2"), match.Judgement{Rule: "r2", Key: "b1/2"}},
		{getRequest("/x"), match.Judgement{}},
	} {
		if got := s.Judge(test.message); got.Refused != nil || got.Rule != test.want.Rule ||
			got.Workload != test.want.Workload || got.Customer != test.want.Customer || got.Cost != test.want.Cost ||
			!strings.HasPrefix(got.Key, strings.TrimRight(test.want.Key, "2")) {
			t.Errorf("%s: %+v, want %+v", test.message.texts["path"], got, test.want)
		}
	}
}

// A value that is missing, repeated or of the wrong type is handled by the rule's otherwise setting and counted as an
// error. No value is guessed.
func TestMissingAndInvalidValues(t *testing.T) {
	for _, test := range []struct {
		rule       Rule
		message    *testMessage
		want       match.Judgement // the zero value stands for a match of the next rule, r1
		wantReason string          // part of the reason if the message is rejected
		wantErrors int64
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
		s := compileSet(t, lenient, test.rule, Rule{When: "true", Key: `"next"`})
		got := s.Judge(test.message)
		want := test.want
		if want.Rule == "" && test.wantReason == "" {
			want = match.Judgement{Rule: "r1", Key: "next"}
		}
		if test.wantReason != "" {
			if got.Refused == nil || !strings.Contains(got.Refused.Error(), test.wantReason) {
				t.Errorf("%+v: %+v, want it rejected with %q", test.rule, got, test.wantReason)
			}
		} else if (got.Trouble != nil) != (test.wantErrors > 0) {
			t.Errorf("%+v: unexpected error %v", test.rule, got.Trouble)
		} else if got.Trouble = nil; got != want {
			t.Errorf("%+v: %+v, want %+v", test.rule, got, want)
		}
		if n := s.Rules()[0].Errors; n != test.wantErrors {
			t.Errorf("%+v: %d errors counted, want %d", test.rule, n, test.wantErrors)
		}
	}
}

// No rule makes a message more repeatable than the client sent it. Rules that always would are rejected when they are
// loaded, others when they match such a message.
func TestRuleCannotRaiseRepeatability(t *testing.T) {
	for _, rule := range []Rule{
		{When: `method == "POST"`, Workload: `"look"`},
		{When: `size > 3 && method in ["POST", "PUT"]`, Workload: `"look"`},
		{When: `path.startsWith("/once/")`, Workload: `"look"`},
		{When: `path == "/once"`, Workload: `"keep"`},
		{When: `segments[0] == "keep"`, Workload: `"look"`},
		{When: `segments[0] == "once" || segments[0] == "keep"`, Workload: `"look"`},
	} {
		var ruleError *RuleError
		if _, err := Compile([]Rule{rule}, shop, lenient); !errors.As(err, &ruleError) ||
			ruleError.Field != "workload" {
			t.Errorf("%+v: error %v, want a RuleError of workload", rule, err)
		}
	}
	s := compileSet(t, 0, Rule{When: `path.startsWith("/a")`, Workload: `segments[1]`},
		Rule{When: `path.startsWith("/on")`, Workload: `"look"`})
	for _, test := range []struct {
		path     string
		sent     match.Repeatable
		accepted bool
	}{{"/a/look", match.Pure, true}, {"/a/look", match.Receipted, false}, {"/a/look", match.Effectful, false}, {"/a/keep",
		match.Receipted, true},
		{"/a/keep", match.Effectful, false}, {"/a/once", match.Effectful, true}, {"/a/once", match.Pure, true}, {"/one",
			match.Pure, true}, {"/once", match.Effectful, false}} {
		m := getRequest(test.path)
		m.sent = test.sent
		if got := s.Judge(m); (got.Refused == nil) != test.accepted || !test.accepted && got.Workload != "" {
			t.Errorf("%s sent as %s: unexpected judgement %+v", test.path, test.sent, got)
		}
	}
}

// maxCompileTime bounds the time in which an invalid rule must be rejected.
const maxCompileTime = 5 * time.Second

// A rule that is invalid or could stall an agent is rejected when it is loaded, with the field and the line.
func TestCompileErrors(t *testing.T) {
	deep := strings.Repeat("(", 2000) + "true" + strings.Repeat(")", 2000)
	for name, test := range map[string]struct {
		rule  Rule
		field string
		line  int
		text  string
	}{
		"syntax":       {Rule{When: "true &&\n && true", Key: `"k"`}, "when", 2, "Syntax error"},
		"unknown name": {Rule{When: `pth == "/"`, Key: `"k"`}, "when", 1, "undeclared reference"},
		"type":         {Rule{When: `size`, Key: `"k"`}, "when", 1, "where bool is wanted"},
		"mixed types":  {Rule{When: `path == 3`, Key: `"k"`}, "when", 1, "no matching overload"},
		"no output":    {Rule{When: `true`}, "when", 1, "decides nothing"},
		"no workload":  {Rule{When: `true`, Workload: `"fly"`}, "workload", 1, "no such workload"},
		"empty key":    {Rule{When: `true`, Key: `""`}, "key", 1, "empty"},
		"cost":         {Rule{When: `true`, Cost: `duration("0s")`}, "cost", 1, "a cost of"},
		"nested":       {Rule{When: `path.matches("(a+)+$")`, Key: `"k"`}, "when", 1, "the budget is"},
		"alternation": {Rule{When: `path.matches("` + strings.Repeat("aa|", 500) + `b")`, Key: `"k"`}, "when", 1,
			"the budget is"},
		"repeats":      {Rule{When: `path.matches("((a{1,100}){1,10})")`, Key: `"k"`}, "when", 1, "the budget is"},
		"more repeats": {Rule{When: `path.matches("((a{1,1000}){1,1000})")`, Key: `"k"`}, "when", 1, ""},
		"variable":     {Rule{When: "true ||\n path.matches(header.p)", Key: `"k"`}, "when", 2, "written out"},
		"sum":          {Rule{When: `path.matches("a" + "b")`, Key: `"k"`}, "when", 1, "written out"},
		"three loops": {Rule{When: `segments.all(x, segments.all(y, segments.all(z, x == y || y == z)))`, Key: `"k"`}, "when",
			1,
			"the budget is"},
		"doubling": {Rule{When: `true`, Key: strings.Repeat("[",
			1) + `path].map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a).map(a, a+a)[0]`},
			"key", 1, "the budget is"},
		"contains": {Rule{When: `path.contains(path + path)`, Key: `"k"`}, "when", 1, "the budget is"},
		"deep":     {Rule{When: deep, Key: `"k"`}, "when", 1, ""},
		"1 MB":     {Rule{When: strings.Repeat("true && ", 1<<17) + "true", Key: `"k"`}, "when", 1, "at most"},
		"fallback for two outputs": {Rule{When: `true`, Key: `"k"`, Customer: `"ann"`, Otherwise: `"x"`}, "otherwise", 1,
			"only where"},
		"fallback of another type": {Rule{When: `true`, Key: `"k"`, Otherwise: `3`}, "otherwise", 1, "where string is wanted"},
		"fallback is no literal":   {Rule{When: `true`, Key: `"k"`, Otherwise: `path`}, "otherwise", 1, "a value"},
		"fallback is invalid": {Rule{When: `true`, Workload: `segments[0]`, Otherwise: `"fly"`}, "otherwise", 1,
			"no such workload"},
	} {
		start := time.Now()
		_, err := Compile([]Rule{test.rule}, shop, 0)
		var ruleError *RuleError
		if !errors.As(err, &ruleError) || ruleError.Field != test.field || ruleError.Line != test.line ||
			!strings.Contains(ruleError.Message, test.text) {
			t.Errorf("%s: %v, want %s %d: %s", name, err, test.field, test.line, test.text)
		}
		if elapsed := time.Since(start); elapsed > maxCompileTime {
			t.Errorf("%s: the error took %s", name, elapsed)
		}
	}
}

// Explain returns the rules that were evaluated, and Rules the state of each rule.
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

// Header names are case-insensitive, query parameter names are case-sensitive.
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
