package rules

import (
	"math"
	"regexp/syntax"
	"time"

	celast "cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/operators"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

// The bound on an expression's time is units x unitTime + rounds x roundTime + evalTime. Units are CEL's own count of
// cost, which charges a tenth for a letter and one for a step; rounds are those of loops, whose steps take longer than
// CEL assumes. The constants are fixed, so that a set of rules is accepted on every machine or on none. They rest on
// BenchmarkUnits, on one shared core of 2 to 3 GHz (docs/matching.md has the figures): no kind of operation took more
// than 0.95 of its bound.
const (
	unitTime = 100 * time.Nanosecond // steps and letters took 3 to 60 ns a unit
	// one evaluation by itself took 0.3 to 0.8 us: variables, look-ups and result
	evalTime         = time.Microsecond
	roundTime        = 2 * time.Microsecond // one round, counted against the limit as it runs, took 0.7 to 1.8 us
	patternStepUnits = 0.16                 // of a pattern: an instruction at a letter took 1.5 to 10 ns
	// finding the rules of one attribute: a hash, and a search among 10,000 texts
	lookupTime = 1500 * time.Nanosecond
)

// unbounded is a cost without a limit.
const unbounded = math.MaxUint64

// timeBound is the longest that one evaluation can take.
func (f *expression) timeBound() time.Duration {
	const maximum = uint64(time.Hour) // far past any budget, and no sum of some thousands overflows
	units := cost.SafeMultiply(f.maxCost, uint64(unitTime))
	rounds := cost.SafeMultiply(f.maxRounds, uint64(roundTime))
	total := cost.SafeAdd(units, rounds, uint64(evalTime))
	return time.Duration(min(total, maximum))
}

// costEstimator tells CEL's checker how large the variables can be, and what a pattern costs.
type costEstimator struct{}

// EstimateSize bounds the size of a variable, or of a part of one.
func (costEstimator) EstimateSize(n cost.AstNode) *cost.SizeEstimate {
	path := n.Path()
	if len(path) == 0 {
		return nil
	}
	maximum := uint64(MaxTextLength)
	switch last := path[len(path)-1]; {
	case last == "@keys":
		maximum = MaxNameLength
	case path[0] == "segments" && len(path) == 1:
		maximum = MaxSegments
	case isMultiTable(path[0]) && len(path) == 2: // the values of one name
		maximum = MaxValues
	case len(path) == 1 && (isMultiTable(path[0]) || isSingleTable(path[0])):
		maximum = MaxNames
	}
	return &cost.SizeEstimate{Min: 0, Max: maximum}
}

func isSingleTable(name string) bool { return tableIndex(name, "") >= 0 }
func isMultiTable(name string) bool  { return tableIndex("", name) >= 0 }

// tableIndex finds a table by one of its two variables.
func tableIndex(single, multi string) int {
	for i, t := range tables {
		if t.single == single || t.multi == multi {
			return i
		}
	}
	return -1
}

// EstimateCallCost charges a pattern by its program: every instruction may be tried at every letter, as Go's matcher
// never goes back. CEL's own estimate goes by the pattern's length, which says nothing of "{1,1000}".
func (costEstimator) EstimateCallCost(function, _ string, target *cost.AstNode,
	args []cost.AstNode) *cost.CallEstimate {
	if function != "matches" || len(args) == 0 {
		return nil
	}
	subject, pattern := target, args[len(args)-1]
	if subject == nil {
		subject = &args[0]
	}
	text, ok := stringLiteral(pattern.Expr())
	if !ok {
		return &cost.CallEstimate{CostEstimate: cost.UnknownCostEstimate()}
	}
	letters := cost.EstimateSize(costEstimator{}, *subject).Max
	return &cost.CallEstimate{CostEstimate: cost.Estimate{Min: 0, Max: patternCostOf(text).cost(letters)}}
}

// patternCost is what the cost of a pattern depends on.
type patternCost struct {
	instructions uint64 // of its program
	maxLength    uint64 // bytes that it looks at: one that is anchored at the beginning stops at its longest match
}

// patternCostOf compiles a pattern. One that cannot be compiled has no limit.
func patternCostOf(pattern string) patternCost {
	tree, err := syntax.Parse(pattern, syntax.Perl)
	if err != nil {
		return patternCost{unbounded, unbounded}
	}
	tree = tree.Simplify()
	prog, err := syntax.Compile(tree)
	if err != nil {
		return patternCost{unbounded, unbounded}
	}
	result := patternCost{uint64(len(prog.Inst)), unbounded}
	if prog.StartCond()&syntax.EmptyBeginText != 0 {
		result.maxLength = maxMatchLength(tree)
	}
	return result
}

// cost is the cost, in units, of matching a text of a length.
func (s patternCost) cost(length uint64) uint64 {
	scanned := cost.SafeAdd(min(length, s.maxLength), 1)
	return cost.SafeAdd(1, cost.SafeMultiplyByFactor(cost.SafeMultiply(scanned, s.instructions), patternStepUnits))
}

// patternCosts counts what patterns cost while a loop runs, by the same rule as the estimate. CEL counts everything
// else.
type patternCosts map[string]patternCost

// CallCost is the cost of a call of matches, nil for other calls.
func (s patternCosts) CallCost(function, _ string, args []ref.Val, _ ref.Val) *uint64 {
	if function != "matches" || len(args) != 2 {
		return nil
	}
	text, _ := args[0].(types.String)
	pattern, _ := args[1].(types.String)
	known, ok := s[string(pattern)]
	if !ok {
		return nil
	}
	units := known.cost(uint64(len(text)))
	return &units
}

// maxMatchLength is how many bytes a match can have.
func maxMatchLength(r *syntax.Regexp) uint64 {
	const maxRuneSize = 4 // bytes of the longest rune
	var length uint64
	switch r.Op {
	case syntax.OpLiteral:
		return maxRuneSize * uint64(len(r.Rune))
	case syntax.OpCharClass, syntax.OpAnyChar, syntax.OpAnyCharNotNL:
		return maxRuneSize
	case syntax.OpStar, syntax.OpPlus:
		return unbounded
	case syntax.OpRepeat:
		if r.Max < 0 {
			return unbounded
		}
		return cost.SafeMultiply(uint64(r.Max), maxMatchLength(r.Sub[0]))
	case syntax.OpAlternate:
		for _, s := range r.Sub {
			length = max(length, maxMatchLength(s))
		}
	default:
		for _, s := range r.Sub {
			length = cost.SafeAdd(length, maxMatchLength(s))
		}
	}
	return length
}

// maxRounds is the most rounds that the loops of an expression can make. Those of an inner loop count for each round of
// the outer one.
func maxRounds(e celast.Expr) (n uint64) {
	add := func(list ...celast.Expr) {
		for _, x := range list {
			n = cost.SafeAdd(n, maxRounds(x))
		}
	}
	switch e.Kind() {
	case celast.CallKind:
		add(e.AsCall().Args()...)
		if e.AsCall().IsMemberFunction() {
			add(e.AsCall().Target())
		}
	case celast.ListKind:
		add(e.AsList().Elements()...)
	case celast.MapKind:
		for _, x := range e.AsMap().Entries() {
			add(x.AsMapEntry().Key(), x.AsMapEntry().Value())
		}
	case celast.SelectKind:
		add(e.AsSelect().Operand())
	case celast.ComprehensionKind:
		c := e.AsComprehension()
		add(c.LoopStep(), c.LoopCondition())
		n = cost.SafeMultiply(cost.SafeAdd(n, 1), maxElements(c.IterRange()))
		add(c.IterRange(), c.AccuInit(), c.Result())
	}
	return n
}

// maxElements is the most elements that a loop over an expression can find.
func maxElements(e celast.Expr) uint64 {
	switch e.Kind() {
	case celast.IdentKind:
		switch name := e.AsIdent(); {
		case name == "segments":
			return MaxSegments
		case isSingleTable(name) || isMultiTable(name):
			return MaxNames
		}
		return MaxNames // a loop's own variable: no variable has a longer list
	case celast.ListKind:
		return uint64(e.AsList().Size())
	case celast.MapKind:
		return uint64(e.AsMap().Size())
	case celast.SelectKind: // headers.name
		return MaxValues
	case celast.ComprehensionKind: // map and filter give no more than they go over
		return maxElements(e.AsComprehension().IterRange())
	case celast.CallKind:
		call := e.AsCall()
		args := call.Args()
		switch call.FunctionName() {
		case operators.Index, operators.OptIndex:
			return MaxValues
		case operators.Conditional:
			return max(maxElements(args[1]), maxElements(args[2]))
		case operators.Add:
			return cost.SafeAdd(maxElements(args[0]), maxElements(args[1]))
		case "orValue":
			return max(maxElements(call.Target()), maxElements(args[0]))
		}
	}
	return unbounded
}
