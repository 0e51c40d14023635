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
	of, name  string // method, path, peer, or a table and a name, or segments and a number
	at        int    // which segment
	optional  bool   // a missing one reads as otherwise; else a missing one is an error of the expression
	otherwise string
}

func (a attribute) read(v *view) (text string, ok bool) {
	switch a.of {
	case "method", "path", "peer":
		return v.text(a.of), true
	case "segments":
		if s := v.segments(); a.at < len(s) {
			return s[a.at], true
		}
	default:
		if x := v.tableNo(tableOf(a.of, "")).Values(a.name); len(x) == 1 {
			return x[0], true
		}
	}
	return a.otherwise, a.optional
}

// test holds where the attribute is one of some texts or begins with one of some others.
type test struct {
	on            attribute
	equal, prefix []string
}

// tests lists what must hold, each by itself, for an expression to be true or an error.
func tests(e celast.Expr) []test {
	if e.Kind() != celast.CallKind {
		return nil
	}
	call := e.AsCall()
	args := call.Args()
	switch call.FunctionName() {
	case operators.LogicalAnd:
		var all []test
		for _, x := range args {
			all = append(all, tests(x)...)
		}
		return all
	case operators.LogicalOr:
		either := tests(args[0])
		for _, x := range args[1:] {
			either = eitherOf(either, tests(x))
		}
		return either
	case operators.Equals:
		for i := range 2 {
			if on, ok := reads(args[i]); ok {
				if text, ok := literal(args[1-i]); ok {
					return []test{{on: on, equal: []string{text}}}
				}
			}
		}
	case operators.In:
		on, ok := reads(args[0])
		if !ok || args[1].Kind() != celast.ListKind {
			return nil
		}
		var texts []string
		for _, x := range args[1].AsList().Elements() {
			text, ok := literal(x)
			if !ok {
				return nil
			}
			texts = append(texts, text)
		}
		return []test{{on: on, equal: texts}}
	case "startsWith":
		if on, ok := reads(call.Target()); ok {
			if text, ok := literal(args[0]); ok {
				return []test{{on: on, prefix: []string{text}}}
			}
		}
	}
	return nil
}

// eitherOf gives what must hold where one of two sides has to: tests that both make of one attribute, put together.
func eitherOf(a, b []test) (both []test) {
	for _, x := range a {
		for _, y := range b {
			if x.on == y.on {
				both = append(both, test{x.on, slices.Concat(x.equal, y.equal), slices.Concat(x.prefix, y.prefix)})
				break
			}
		}
	}
	return both
}

// reads tells which attribute an expression reads, if it reads one and does nothing else.
func reads(e celast.Expr) (a attribute, ok bool) {
	switch e.Kind() {
	case celast.IdentKind:
		a.of = e.AsIdent()
		return a, a.of == "method" || a.of == "path" || a.of == "peer"
	case celast.SelectKind: // header.accept
		s := e.AsSelect()
		return attribute{of: s.Operand().AsIdent(), name: s.FieldName()}, !s.IsTestOnly() && isTable(s.Operand())
	case celast.CallKind:
		call := e.AsCall()
		switch call.FunctionName() {
		case operators.Index, operators.OptIndex:
			a, ok = indexed(call.Args()[0], call.Args()[1])
			return a, ok && call.FunctionName() == operators.Index
		case "orValue":
			inner := call.Target()
			if inner.Kind() != celast.CallKind || inner.AsCall().FunctionName() != operators.OptIndex {
				return a, false
			}
			a, ok = indexed(inner.AsCall().Args()[0], inner.AsCall().Args()[1])
			text, written := literal(call.Args()[0])
			a.optional, a.otherwise = true, text
			return a, ok && written
		}
	}
	return a, false
}

func isTable(e celast.Expr) bool {
	return e.Kind() == celast.IdentKind && isSingle(e.AsIdent())
}

func indexed(of, at celast.Expr) (attribute, bool) {
	if of.Kind() != celast.IdentKind || at.Kind() != celast.LiteralKind {
		return attribute{}, false
	}
	switch x := at.AsLiteral().(type) {
	case types.String:
		return attribute{of: of.AsIdent(), name: string(x)}, isTable(of)
	case types.Int:
		return attribute{of: "segments", at: int(x)}, of.AsIdent() == "segments" && x >= 0 && x < MostSegments
	}
	return attribute{}, false
}

// index finds the rules that have to be run for a subject.
type index struct {
	rules   int
	always  []uint64 // rules without a test, a bit each
	columns []*column
}

// column holds the rules that are found by one attribute.
type column struct {
	on    attribute
	all   []int // every rule here: none can be spared where the attribute is missing and that is an error
	equal map[string][]int
	heads []head // in order of their texts
}

// head is a text that an attribute may begin with, and the next shorter one that this text begins with itself.
type head struct {
	text    string
	shorter int // -1 if none
	rules   []int
}

// newIndex takes for each rule the test with the fewest rivals, as that spares most.
func newIndex(of [][]test) *index {
	type place struct {
		on   attribute
		text string
		head bool
	}
	rivals := map[place]int{}
	each := func(t test, do func(place)) {
		for _, x := range t.equal {
			do(place{t.on, x, false})
		}
		for _, x := range t.prefix {
			do(place{t.on, x, true})
		}
	}
	for _, list := range of {
		for _, t := range list {
			each(t, func(p place) { rivals[p]++ })
		}
	}
	x := &index{rules: len(of), always: make([]uint64, (len(of)+63)/64)}
	columns := map[attribute]*column{}
	heads := map[*column]map[string][]int{}
	for i, list := range of {
		best, least := -1, math.MaxInt
		for j, t := range list {
			n := 0
			each(t, func(p place) { n += rivals[p] })
			if n < least {
				best, least = j, n
			}
		}
		if best < 0 {
			x.always[i/64] |= 1 << (i % 64)
			continue
		}
		t := list[best]
		c := columns[t.on]
		if c == nil {
			c = &column{on: t.on, equal: map[string][]int{}}
			columns[t.on], heads[c] = c, map[string][]int{}
			x.columns = append(x.columns, c)
		}
		c.all = append(c.all, i)
		for _, text := range t.equal {
			c.equal[text] = append(c.equal[text], i)
		}
		for _, text := range t.prefix {
			heads[c][text] = append(heads[c][text], i)
		}
	}
	for _, c := range x.columns {
		c.setHeads(heads[c])
	}
	return x
}

func (c *column) setHeads(of map[string][]int) {
	for text, rules := range of {
		c.heads = append(c.heads, head{text, -1, rules})
	}
	slices.SortFunc(c.heads, func(a, b head) int { return strings.Compare(a.text, b.text) })
	for i := range c.heads {
		j := i - 1
		for j >= 0 && !strings.HasPrefix(c.heads[i].text, c.heads[j].text) {
			j = c.heads[j].shorter
		}
		c.heads[i].shorter = j
	}
}

// longest is the longest head that a text begins with. All texts between a head and a longer one that begins with it
// begin with it too, so the last head not after the text leads there by its shorter ones.
func (c *column) longest(text string) int {
	i := sort.Search(len(c.heads), func(i int) bool { return c.heads[i].text > text }) - 1
	for i >= 0 && !strings.HasPrefix(text, c.heads[i].text) {
		i = c.heads[i].shorter
	}
	return i
}

// find calls do for each list of rules whose test holds for a text.
func (c *column) find(text string, do func(rules []int)) {
	if r := c.equal[text]; r != nil {
		do(r)
	}
	for i := c.longest(text); i >= 0; i = c.heads[i].shorter {
		do(c.heads[i].rules)
	}
}

// mark sets a bit for each rule that has to be run.
func (x *index) mark(v *view, bits []uint64) {
	copy(bits, x.always)
	set := func(rules []int) {
		for _, r := range rules {
			bits[r/64] |= 1 << (r % 64)
		}
	}
	for _, c := range x.columns {
		if text, ok := c.on.read(v); ok {
			c.find(text, set)
		} else {
			set(c.all)
		}
	}
}

// next gives the first marked rule from one on, -1 if there is none.
func next(marks []uint64, from int) int {
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

// worst is the most time that any one subject can need, where rule i takes cost[i], and the rules that take it: those
// without a test, and in each column the dearest set that one text can find.
func (x *index) worst(cost []time.Duration) (most time.Duration, rules []int) {
	for r := next(x.always, 0); r >= 0; r = next(x.always, r+1) {
		rules = append(rules, r)
	}
	for _, c := range x.columns {
		_, dearest := c.dearest(cost)
		rules = append(rules, dearest...)
		most += lookTime
	}
	for _, r := range rules {
		most += cost[r]
	}
	slices.Sort(rules)
	return most, rules
}

// dearest is the text whose rules cost most together, and these; of "" and all rules where one that is missing costs more.
func (c *column) dearest(cost []time.Duration) (text string, rules []int) {
	var price time.Duration
	weigh := func(of string, list []int) {
		var sum time.Duration
		for _, r := range list {
			sum += cost[r]
		}
		if sum > price {
			text, rules, price = of, list, sum
		}
	}
	found := func(of string) {
		var list []int
		c.find(of, func(r []int) { list = append(list, r...) })
		slices.Sort(list)
		weigh(of, slices.Compact(list))
	}
	for of := range c.equal {
		found(of)
	}
	for _, h := range c.heads {
		found(h.text)
	}
	if !c.on.optional && c.on.of != "method" && c.on.of != "path" && c.on.of != "peer" {
		weigh("", c.all)
	}
	return text, rules
}
