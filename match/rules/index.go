package rules

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"time"

	celast "cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"
)

// The index spares the rules that cannot match. Of each rule it holds one literal test on one attribute that must hold
// for the rule's condition to be true or an error; a rule whose test fails would have given false, and is not run. CEL's
// logic makes that sound: false && error is false, in either order.

// attribute is a text that a subject has, or for some kinds may lack.
type attribute struct {
	source, name string // method, path, peer, or a table and a name, or segments and a number
	segment      int    // which segment
	optional     bool   // a missing one reads as otherwise; else a missing one is an error of the expression
	fallback     string
}

func (a attribute) value(v *activationView) (text string, ok bool) {
	switch a.source {
	case "method", "path", "peer":
		return v.text(a.source), true
	case "segments":
		if s := v.segments(); a.segment < len(s) {
			return s[a.segment], true
		}
	default:
		if x := v.table(tableIndex(a.source, "")).Values(a.name); len(x) == 1 {
			return x[0], true
		}
	}
	return a.fallback, a.optional
}

// indexTest holds where the attribute is one of some texts or begins with one of some others.
type indexTest struct {
	attribute        attribute
	equals, prefixes []string
}

// indexTests lists what must hold, each by itself, for an expression to be true or an error.
func indexTests(e celast.Expr) []indexTest {
	if e.Kind() != celast.CallKind {
		return nil
	}
	call := e.AsCall()
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		var all []indexTest
		for _, x := range args {
			all = append(all, indexTests(x)...)
		}
		return all
	case operators.LogicalOr:
		either := indexTests(args[0])
		for _, x := range args[1:] {
			either = unionTests(either, indexTests(x))
		}
		return either
	case operators.Equals:
		for i := range 2 {
			if on, ok := attributeOf(args[i]); ok {
				if text, ok := stringLiteral(args[1-i]); ok {
					return []indexTest{{attribute: on, equals: []string{text}}}
				}
			}
		}
	case operators.In:
		on, ok := attributeOf(args[0])
		if !ok || args[1].Kind() != celast.ListKind {
			return nil
		}
		var texts []string
		for _, x := range args[1].AsList().Elements() {
			text, ok := stringLiteral(x)
			if !ok {
				return nil
			}
			texts = append(texts, text)
		}
		return []indexTest{{attribute: on, equals: texts}}
	case "startsWith":
		if on, ok := attributeOf(call.Target()); ok {
			if text, ok := stringLiteral(args[0]); ok {
				return []indexTest{{attribute: on, prefixes: []string{text}}}
			}
		}
	}
	return nil
}

// unionTests gives what must hold where one of two sides has to: tests that both make of one attribute, put together.
func unionTests(a, b []indexTest) (both []indexTest) {
	for _, x := range a {
		for _, y := range b {
			if x.attribute == y.attribute {
				both = append(both, indexTest{x.attribute, slices.Concat(x.equals, y.equals), slices.Concat(x.prefixes, y.prefixes)})
				break
			}
		}
	}
	return both
}

// attributeOf tells which attribute an expression reads, if it reads one and does nothing else.
func attributeOf(e celast.Expr) (a attribute, ok bool) {
	switch e.Kind() {
	case celast.IdentKind:
		a.source = e.AsIdent()
		return a, a.source == "method" || a.source == "path" || a.source == "peer"
	case celast.SelectKind: // header.accept
		s := e.AsSelect()
		return attribute{source: s.Operand().AsIdent(), name: s.FieldName()}, !s.IsTestOnly() && isTable(s.Operand())
	case celast.CallKind:
		call := e.AsCall()
		switch call.FunctionName() {
		case operators.Index, operators.OptIndex:
			a, ok = indexedAttribute(call.Args()[0], call.Args()[1])
			return a, ok && call.FunctionName() == operators.Index
		case "orValue":
			inner := call.Target()
			if inner.Kind() != celast.CallKind || inner.AsCall().FunctionName() != operators.OptIndex {
				return a, false
			}
			a, ok = indexedAttribute(inner.AsCall().Args()[0], inner.AsCall().Args()[1])
			text, written := stringLiteral(call.Args()[0])
			a.optional, a.fallback = true, text
			return a, ok && written
		}
	}
	return a, false
}

func isTable(e celast.Expr) bool {
	return e.Kind() == celast.IdentKind && isSingleTable(e.AsIdent())
}

func indexedAttribute(container, key celast.Expr) (attribute, bool) {
	if container.Kind() != celast.IdentKind || key.Kind() != celast.LiteralKind {
		return attribute{}, false
	}
	switch x := key.AsLiteral().(type) {
	case types.String:
		return attribute{source: container.AsIdent(), name: string(x)}, isTable(container)
	case types.Int:
		return attribute{source: "segments", segment: int(x)}, container.AsIdent() == "segments" && x >= 0 && x < MostSegments
	}
	return attribute{}, false
}

// index finds the rules that have to be run for a subject.
type index struct {
	ruleCount int
	always    []uint64 // rules without a test, a bit each
	columns   []*column
}

// column holds the rules that are found by one attribute.
type column struct {
	attribute attribute
	rules     []int // every rule here: none can be spared where the attribute is missing and that is an error
	byValue   map[string][]int
	prefixes  []prefix // in order of their texts
}

// prefix is a text that an attribute may begin with, and the next shorter one that this text begins with itself.
type prefix struct {
	text    string
	shorter int // -1 if none
	rules   []int
}

// newIndex takes for each rule the test with the fewest rivals, as that spares most.
func newIndex(testsByRule [][]indexTest) *index {
	type literalTest struct {
		on   attribute
		text string
		head bool
	}
	uses := map[literalTest]int{}
	each := func(t indexTest, do func(literalTest)) {
		for _, result := range t.equals {
			do(literalTest{t.attribute, result, false})
		}
		for _, result := range t.prefixes {
			do(literalTest{t.attribute, result, true})
		}
	}
	for _, list := range testsByRule {
		for _, t := range list {
			each(t, func(p literalTest) { uses[p]++ })
		}
	}
	result := &index{ruleCount: len(testsByRule), always: make([]uint64, (len(testsByRule)+63)/64)}
	columns := map[attribute]*column{}
	prefixes := map[*column]map[string][]int{}
	for i, list := range testsByRule {
		best, least := -1, math.MaxInt
		for j, t := range list {
			n := 0
			each(t, func(p literalTest) { n += uses[p] })
			if n < least {
				best, least = j, n
			}
		}
		if best < 0 {
			result.always[i/64] |= 1 << (i % 64)
			continue
		}
		t := list[best]
		c := columns[t.attribute]
		if c == nil {
			c = &column{attribute: t.attribute, byValue: map[string][]int{}}
			columns[t.attribute], prefixes[c] = c, map[string][]int{}
			result.columns = append(result.columns, c)
		}
		c.rules = append(c.rules, i)
		for _, text := range t.equals {
			c.byValue[text] = append(c.byValue[text], i)
		}
		for _, text := range t.prefixes {
			prefixes[c][text] = append(prefixes[c][text], i)
		}
	}
	for _, c := range result.columns {
		c.setPrefixes(prefixes[c])
	}
	return result
}

func (c *column) setPrefixes(rulesByPrefix map[string][]int) {
	for text, rules := range rulesByPrefix {
		c.prefixes = append(c.prefixes, prefix{text, -1, rules})
	}
	slices.SortFunc(c.prefixes, func(a, b prefix) int { return strings.Compare(a.text, b.text) })
	for i := range c.prefixes {
		j := i - 1
		for j >= 0 && !strings.HasPrefix(c.prefixes[i].text, c.prefixes[j].text) {
			j = c.prefixes[j].shorter
		}
		c.prefixes[i].shorter = j
	}
}

// longestPrefix is the longest head that a text begins with. All texts between a head and a longer one that begins with it
// begin with it too, so the last head not after the text leads there by its shorter ones.
func (c *column) longestPrefix(text string) int {
	i := sort.Search(len(c.prefixes), func(i int) bool { return c.prefixes[i].text > text }) - 1
	for i >= 0 && !strings.HasPrefix(text, c.prefixes[i].text) {
		i = c.prefixes[i].shorter
	}
	return i
}

// find calls do for each list of rules whose test holds for a text.
func (c *column) find(text string, do func(rules []int)) {
	if r := c.byValue[text]; r != nil {
		do(r)
	}
	for i := c.longestPrefix(text); i >= 0; i = c.prefixes[i].shorter {
		do(c.prefixes[i].rules)
	}
}

// markCandidates sets a bit for each rule that has to be run.
func (x *index) markCandidates(v *activationView, marks []uint64) {
	copy(marks, x.always)
	set := func(rules []int) {
		for _, r := range rules {
			marks[r/64] |= 1 << (r % 64)
		}
	}
	for _, c := range x.columns {
		if text, ok := c.attribute.value(v); ok {
			c.find(text, set)
		} else {
			set(c.rules)
		}
	}
}

// nextMarked gives the first marked rule from one on, -1 if there is none.
func nextMarked(marks []uint64, from int) int {
	for w := from / 64; w < len(marks); w++ {
		word := marks[w]
		if w == from/64 {
			word &= math.MaxUint64 << (from % 64)
		}
		if word != 0 {
			return w*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// worstCase is the most time that any one subject can need, where rule i takes cost[i], and the rules that take it: those
// without a test, and in each column the dearest set that one text can find.
func (x *index) worstCase(cost []time.Duration) (total time.Duration, rules []int) {
	for r := nextMarked(x.always, 0); r >= 0; r = nextMarked(x.always, r+1) {
		rules = append(rules, r)
	}
	for _, c := range x.columns {
		_, expensive := c.mostExpensive(cost)
		rules = append(rules, expensive...)
		total += lookupTime
	}
	for _, r := range rules {
		total += cost[r]
	}
	slices.Sort(rules)
	return total, rules
}

// mostExpensive is the text whose rules cost most together, and these; of "" and all rules where one that is missing costs more.
func (c *column) mostExpensive(cost []time.Duration) (text string, rules []int) {
	var highest time.Duration
	consider := func(of string, list []int) {
		var sum time.Duration
		for _, r := range list {
			sum += cost[r]
		}
		if sum > highest {
			text, rules, highest = of, list, sum
		}
	}
	considerText := func(of string) {
		var list []int
		c.find(of, func(r []int) { list = append(list, r...) })
		slices.Sort(list)
		consider(of, slices.Compact(list))
	}
	for of := range c.byValue {
		considerText(of)
	}
	for _, h := range c.prefixes {
		considerText(h.text)
	}
	if !c.attribute.optional && c.attribute.source != "method" && c.attribute.source != "path" && c.attribute.source != "peer" {
		consider("", c.rules)
	}
	return text, rules
}
