package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cel.dev/cel-go/cel"
)

var boolType = cel.BoolType

// expensive lists expensive conditions of each kind, close to the maximum cost.
var expensive = []string{
	`path.matches("^/a{3,9}b")`,
	`path.matches("x$")`,
	`segments.all(s, s != "none")`,
	`segments.all(s, segments.exists(t, t == s))`,
	`headers.all(n, headers[n].size() > 0)`,
	`header.all(n, header[n] != "none")`,
	`query.exists(n, query[n].startsWith("zzz"))`,
	`path.contains("aaaaaaaaaaaaaaaaaaaaaaab")`,
	`path.contains("b")`,
	`lower(path) != "x"`,
	`(path + path + path).size() > 3`,
	`before(path, "zzz") != after(path, "zzz")`,
	`bucket(path, 100) >= 0`,
	`path != header["h0"] && header["h0"] != header["h1"]`,
	`header[?"h3"].orValue("").endsWith("vv")`,
	`int(header[?"h3"].orValue("7") == "x" ? "1" : "2") > 0`,
	`whole(path).orValue(3) == 3 && number(path).orValue(1.5) > 1.0 && span(path).orValue(hint) == hint`,
	`segments.map(s, s + "/").filter(s, s.size() > 2).size() > 0`,
	`method == "GET" && size > 3 && path.startsWith("/aaa")`,
}

// largestMessage returns a message whose attributes all have their maximum size.
func largestMessage() *testMessage {
	m := getRequest("/" + strings.Repeat("a", MaxTextLength-1))
	m.segments = nil
	m.size = 1 << 16
	for i := range MaxSegments {
		m.segments = append(m.segments, fmt.Sprintf("%0*d", MaxTextLength/MaxSegments-1, i))
	}
	for _, name := range []string{"header", "query", "cookie"} {
		m.tables[name] = map[string][]string{}
		for i := range MaxNames {
			m.tables[name][fmt.Sprint("h", i)] = []string{strings.Repeat("v", MaxTextLength)}
		}
	}
	return m
}

// BenchmarkUnits measures the time of each kind of expensive condition, from which unitTime and evalTime are derived.
// It reports the time per unit and the ratio of the time to its bound.
func BenchmarkUnits(b *testing.B) {
	m := largestMessage()
	for _, text := range expensive {
		condition, compileError := compileExpression(text, boolType)
		if compileError != nil {
			b.Fatal(compileError)
		}
		b.Run(text, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = condition.eval(&activationView{subject: m}) // some of the conditions return errors
			}
			nsPerEval := float64(b.Elapsed()) / float64(b.N)
			b.ReportMetric(float64(condition.maxCost), "units")
			b.ReportMetric(nsPerEval/float64(condition.maxCost), "ns/unit")
			b.ReportMetric(nsPerEval/float64(condition.timeBound()), "of-bound")
		})
	}
}

// ordinaryRules returns n rules with different path prefixes.
func ordinaryRules(n int) (rules []Rule) {
	for i := range n {
		rules = append(rules, Rule{Name: fmt.Sprint("r", i), Key: `header[?"x-user"].orValue("none")`,
			When: fmt.Sprintf(`path.startsWith("/api/v%d/") && method == "GET" && header[?"x-tier"].orValue("") != "t%d"`, i,
				i)})
	}
	return rules
}

// BenchmarkSets judges an ordinary message with sets of several sizes, and the largest message with the most expensive
// set that the default budget allows.
func BenchmarkSets(b *testing.B) {
	m := getRequest("/api/v7/flags/f3", "x-user", "u1", "x-tier", "gold", "accept", "*/*", "user-agent", "app")
	for _, n := range []int{10, 100, 1000, 10000} {
		s := compileSet(b, 0, ordinaryRules(n)...)
		b.Run(fmt.Sprint("ordinary-", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Judge(m)
			}
		})
	}
	s := mostExpensiveSet(b)
	large := largestMessage()
	b.Run("most-expensive", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Judge(large)
		}
		b.ReportMetric(float64(s.Bound()), "bound-ns")
	})
}

// setFillAttempts is how often mostExpensiveSet tries to add each of the expensive conditions.
const setFillAttempts = 40

// minUnusedBudget is the unused budget below which mostExpensiveSet stops adding conditions.
const minUnusedBudget = 2 * time.Microsecond

// mostExpensiveSet returns a set that uses up the default budget with expensive conditions, none of which matches the
// largest message.
func mostExpensiveSet(t testing.TB) *Set {
	var rules []Rule
	var last *Set
	for attempt := range setFillAttempts {
		for _, text := range expensive {
			r := Rule{Name: fmt.Sprint(attempt, text), When: `!(` + text + `) && size < 0`, Key: `"k"`}
			if s, err := Compile(append(rules[:len(rules):len(rules)], r), shop, DefaultBudget); err == nil {
				rules, last = append(rules, r), s
			}
		}
		if DefaultBudget-last.Bound() < minUnusedBudget {
			break
		}
	}
	return last
}

// FuzzCompile checks that every expression is either rejected with a position or costs no more than its bound, and that
// nothing panics.
func FuzzCompile(f *testing.F) {
	for _, text := range expensive {
		f.Add(text, "/a/b", "v")
	}
	for _, text := range []string{`path.matches("(a+)+$")`, `[1,2,3].map(x, x*2)[5] == 3`, `duration("1h") > hint`,
		"\xff", `"\xff" == path`,
		`header[?"h0"].optMap(x, x + x).orValue("") == path`, `timestamp("2020-01-01T00:00:00Z") > timestamp(0)`,
		`size / 0 == 1`,
		`has(header.h0) && !has(query.nope)`, `path[0] == "a"`, `type(path) == string`, `dyn(path) == 3`} {
		f.Add(text, "/", "")
	}
	f.Fuzz(func(t *testing.T, text, path, value string) {
		condition, compileError := compileExpression(text, boolType)
		if compileError != nil {
			if compileError.Line < 1 || compileError.Column < 1 || compileError.Message == "" {
				t.Errorf("%q: %+v", text, compileError)
			}
			return
		}
		m := getRequest(path, "h0", value)
		if len(path)+len(value) > MaxTextLength || condition.timeBound() > time.Second {
			return
		}
		if got, err := evaluationCost(condition, m); got > condition.maxCost {
			t.Errorf("%q cost %d units, want at most %d (error %v)", text, got, condition.maxCost, err)
		}
	})
}
