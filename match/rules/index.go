package rules

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"time"
)

// The index saves running rules that cannot match. For each rule it has one literal test on one attribute, without
// which the rule's condition is neither true nor an error. A rule whose test fails would have given false, and is not
// run. CEL's logic makes that sound: false && error is false, in either order.

// index finds the rules that have to be run for a subject.
type index struct {
	ruleCount int
	always    []uint64 // a bit for each rule without a test
	columns   []*column
}

// column has the rules that are found by one attribute.
type column struct {
	attribute attribute
	rules     []int // all of them; they have to be run where the attribute is missing, which is an error
	byValue   map[string][]int
	prefixes  []prefix // in order of their texts
}

// prefix is a text that an attribute may begin with.
type prefix struct {
	text    string
	shorter int // the longest other prefix that this text begins with, -1 if there is none
	rules   []int
}

// literal is one text of a test.
type literal struct {
	attribute attribute
	text      string
	isPrefix  bool
}

// literals calls do for each text of a test.
func (t indexTest) literals(do func(literal)) {
	for _, text := range t.equals {
		do(literal{t.attribute, text, false})
	}
	for _, text := range t.prefixes {
		do(literal{t.attribute, text, true})
	}
}

// newIndex finds each rule by the one of its tests whose texts the fewest other rules have, as that saves most.
func newIndex(testsByRule [][]indexTest) *index {
	uses := map[literal]int{}
	for _, tests := range testsByRule {
		for _, test := range tests {
			test.literals(func(l literal) { uses[l]++ })
		}
	}
	x := &index{ruleCount: len(testsByRule), always: make([]uint64, (len(testsByRule)+63)/64)}
	columns := map[attribute]*column{}
	prefixes := map[*column]map[string][]int{}
	for rule, tests := range testsByRule {
		test := rarestTest(tests, uses)
		if test == nil {
			x.always[rule/64] |= 1 << (rule % 64)
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

// rarestTest is the first of the tests whose texts are used least, nil if there is no test.
func rarestTest(tests []indexTest, uses map[literal]int) *indexTest {
	var rarest *indexTest
	least := math.MaxInt
	for i, test := range tests {
		n := 0
		test.literals(func(l literal) { n += uses[l] })
		if n < least {
			rarest, least = &tests[i], n
		}
	}
	return rarest
}

// setPrefixes sorts the prefixes and links each to the next shorter one.
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

// longestPrefix is the longest prefix that a text begins with, -1 if there is none. All prefixes that sort between a
// prefix and a longer one that begins with it begin with it too, so the last one that does not sort after the text
// leads there by its shorter ones.
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

// nextMarked returns the first marked rule that is not before from, -1 if there is none.
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

// worstCase is the longest that any subject can take, where rule i takes cost[i], and the rules that take it: those
// without a test, and in each column the most expensive set that one text can find.
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

// mostExpensive is the text whose rules cost most together, and these. It is "" and all rules where a missing attribute
// costs more.
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
	if !c.attribute.alwaysPresent() {
		consider("", c.rules)
	}
	return text, rules
}
