package rules

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"time"
)

// The index excludes rules that cannot match. For each rule it holds one test of an attribute against literals. If the
// test fails, the rule's condition is false, so that the rule need not be evaluated. This is sound because CEL
// evaluates false && error to false in either order.

// bitsPerWord is the number of rules in one word of a bit set.
const bitsPerWord = 64

// index finds the rules that must be evaluated for a subject.
type index struct {
	ruleCount int
	always    []uint64 // bit set of the rules without a test
	columns   []*column
}

// column holds the rules that are found by one attribute.
type column struct {
	attribute attribute
	rules     []int // all rules of the column; a missing attribute is an error, so that all are evaluated
	byValue   map[string][]int
	prefixes  []prefix // sorted by text
}

// prefix is a text that an attribute may start with.
type prefix struct {
	text    string
	shorter int // index of the longest other prefix that this text starts with, or -1
	rules   []int
}

// literal is one of the texts of an indexTest.
type literal struct {
	attribute attribute
	text      string
	isPrefix  bool
}

// literals calls do for each text of the test.
func (t indexTest) literals(do func(literal)) {
	for _, text := range t.equals {
		do(literal{t.attribute, text, false})
	}
	for _, text := range t.prefixes {
		do(literal{t.attribute, text, true})
	}
}

// newIndex returns an index of rules, given the tests of each. It indexes a rule by the test whose texts the fewest
// other rules share, which excludes the rule for the most messages.
func newIndex(testsByRule [][]indexTest) *index {
	uses := map[literal]int{}
	for _, tests := range testsByRule {
		for _, test := range tests {
			test.literals(func(l literal) { uses[l]++ })
		}
	}
	x := &index{ruleCount: len(testsByRule), always: make([]uint64, (len(testsByRule)+bitsPerWord-1)/bitsPerWord)}
	columns := map[attribute]*column{}
	prefixes := map[*column]map[string][]int{}
	for rule, tests := range testsByRule {
		test := rarestTest(tests, uses)
		if test == nil {
			x.always[rule/bitsPerWord] |= 1 << (rule % bitsPerWord)
			continue
		}
		c := columns[test.attribute]
		if c == nil {
			c = &column{attribute: test.attribute, byValue: map[string][]int{}}
			columns[test.attribute] = c
			prefixes[c] = map[string][]int{}
			x.columns = append(x.columns, c)
		}
		c.rules = append(c.rules, rule)
		for _, text := range test.equals {
			c.byValue[text] = append(c.byValue[text], rule)
		}
		for _, text := range test.prefixes {
			prefixes[c][text] = append(prefixes[c][text], rule)
		}
	}
	for _, c := range x.columns {
		c.setPrefixes(prefixes[c])
	}
	return x
}

// rarestTest returns the first test whose texts have the fewest uses, or nil if there is no test.
func rarestTest(tests []indexTest, uses map[literal]int) *indexTest {
	var rarest *indexTest
	least := math.MaxInt
	for i, test := range tests {
		total := 0
		test.literals(func(l literal) { total += uses[l] })
		if total < least {
			rarest, least = &tests[i], total
		}
	}
	return rarest
}

// setPrefixes stores the prefixes in sorted order and links each to the longest other prefix that it starts with.
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

// longestPrefix returns the index of the longest prefix of a text, or -1 if there is none. All prefixes that sort
// between a prefix p and a text that starts with p also start with p. The last prefix that does not sort after the text
// is therefore the result, or leads to it through the links to shorter prefixes.
func (c *column) longestPrefix(text string) int {
	i := sort.Search(len(c.prefixes), func(i int) bool { return c.prefixes[i].text > text }) - 1
	for i >= 0 && !strings.HasPrefix(text, c.prefixes[i].text) {
		i = c.prefixes[i].shorter
	}
	return i
}

// find calls do for each list of rules whose test holds for a text.
func (c *column) find(text string, do func(rules []int)) {
	if found := c.byValue[text]; found != nil {
		do(found)
	}
	for i := c.longestPrefix(text); i >= 0; i = c.prefixes[i].shorter {
		do(c.prefixes[i].rules)
	}
}

// markCandidates overwrites marks with the bit set of the rules that must be evaluated.
func (x *index) markCandidates(v *activationView, marks []uint64) {
	copy(marks, x.always)
	set := func(rules []int) {
		for _, r := range rules {
			marks[r/bitsPerWord] |= 1 << (r % bitsPerWord)
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

// nextMarked returns the first marked rule whose index is at least from, or -1 if there is none.
func nextMarked(marks []uint64, from int) int {
	for w := from / bitsPerWord; w < len(marks); w++ {
		word := marks[w]
		if w == from/bitsPerWord {
			word &= math.MaxUint64 << (from % bitsPerWord)
		}
		if word != 0 {
			return w*bitsPerWord + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// worstCase returns the maximum time for any subject, given the cost of each rule, and the rules that are evaluated in
// that case: the rules without a test, and from each column the most expensive set that one text can select.
func (x *index) worstCase(costs []time.Duration) (total time.Duration, rules []int) {
	for r := nextMarked(x.always, 0); r >= 0; r = nextMarked(x.always, r+1) {
		rules = append(rules, r)
	}
	for _, c := range x.columns {
		_, expensive := c.mostExpensive(costs)
		rules = append(rules, expensive...)
		total += lookupTime
	}
	for _, r := range rules {
		total += costs[r]
	}
	slices.Sort(rules)
	return total, rules
}

// mostExpensive returns the text that selects the most expensive set of rules, and that set. It returns "" and all
// rules of the column if the attribute can be missing and evaluating all rules costs more.
func (c *column) mostExpensive(costs []time.Duration) (text string, rules []int) {
	var highest time.Duration
	consider := func(candidate string, list []int) {
		var sum time.Duration
		for _, r := range list {
			sum += costs[r]
		}
		if sum > highest {
			text, rules, highest = candidate, list, sum
		}
	}
	considerText := func(candidate string) {
		var list []int
		c.find(candidate, func(r []int) { list = append(list, r...) })
		slices.Sort(list)
		consider(candidate, slices.Compact(list))
	}
	for candidate := range c.byValue {
		considerText(candidate)
	}
	for _, p := range c.prefixes {
		considerText(p.text)
	}
	if !c.attribute.alwaysPresent() {
		consider("", c.rules)
	}
	return text, rules
}
