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

// The time bound of an expression is units x unitTime + iterations x iterationTime + evalTime. Units are CEL's cost
// units: 0.1 per character and 1 per step. Loop iterations are charged separately, because they take longer than CEL's
// cost model assumes. The constants do not depend on the machine, so that a set of rules is accepted on all machines or
// on none. They cover the times that BenchmarkUnits shows on one shared core of 2 to 3 GHz (figures in
// docs/matching.md), where no kind of operation took more than 0.95 of its bound.
const (
	unitTime      = 100 * time.Nanosecond // steps and characters take 3 to 60 ns per unit
	evalTime      = time.Microsecond      // variables, look-ups and the result of one evaluation take 0.3 to 0.8 us
	iterationTime = 2 * time.Microsecond  // one iteration, including cost tracking, takes 0.7 to 1.8 us
	// patternStepUnits is the cost of one instruction of a pattern at one character, which takes 1.5 to 10 ns.
	patternStepUnits = 0.16
	lookupTime       = 1500 * time.Nanosecond // index look-up of one attribute: a hash and a search among 10,000 texts
)

// unbounded is the cost of an operation without a known limit.
const unbounded = math.MaxUint64

// timeBound returns the maximum time of one evaluation by the cost model.
func (x *expression) timeBound() time.Duration {
	const maximum = uint64(time.Hour) // far above any budget; sums over thousands of expressions do not overflow
	units := cost.SafeMultiply(x.maxCost, uint64(unitTime))
	iterations := cost.SafeMultiply(x.maxIterations, uint64(iterationTime))
	total := cost.SafeAdd(units, iterations, uint64(evalTime))
	return time.Duration(min(total, maximum))
}

// costEstimator provides CEL's cost estimation with the maximum sizes of variables and the cost of patterns.
type costEstimator struct{}

// EstimateSize returns the bounds on the size of a variable or of one of its parts.
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

// tableIndex returns the index of the table with one of two variable names, or -1 if there is none.
func tableIndex(single, multi string) int {
	for i, t := range tables {
		if t.single == single || t.multi == multi {
			return i
		}
	}
	return -1
}

// EstimateCallCost estimates a pattern match by the instructions of the compiled pattern. Go's matcher does not
// backtrack, so that it runs each instruction at most once per character. CEL's own estimate depends on the length of
// the pattern's text, which underestimates repetitions such as "{1,1000}".
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
	length := cost.EstimateSize(costEstimator{}, *subject).Max
	return &cost.CallEstimate{CostEstimate: cost.Estimate{Min: 0, Max: patternCostOf(text).cost(length)}}
}

// patternCost holds the properties of a pattern that determine its cost.
type patternCost struct {
	instructions uint64 // in the compiled pattern
	maxLength    uint64 // bytes that a match can read; limited only if the pattern is anchored at the beginning
}

// patternCostOf compiles a pattern and returns its cost. The cost of an invalid pattern is unbounded.
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

// cost returns the cost of matching a text of the given length, in CEL's units.
func (p patternCost) cost(length uint64) uint64 {
	scanned := cost.SafeAdd(min(length, p.maxLength), 1)
	return cost.SafeAdd(1, cost.SafeMultiplyByFactor(cost.SafeMultiply(scanned, p.instructions), patternStepUnits))
}

// patternCosts holds the costs of an expression's patterns by their texts. It tracks their actual cost at run time in
// the way of EstimateCallCost; CEL tracks all other operations.
type patternCosts map[string]patternCost

// CallCost returns the cost of a call of matches, and nil for all other calls.
func (p patternCosts) CallCost(function, _ string, args []ref.Val, _ ref.Val) *uint64 {
	if function != "matches" || len(args) != 2 {
		return nil
	}
	text, _ := args[0].(types.String)
	pattern, _ := args[1].(types.String)
	known, ok := p[string(pattern)]
	if !ok {
		return nil
	}
	units := known.cost(uint64(len(text)))
	return &units
}

// maxMatchLength returns the maximum length of a match in bytes.
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

// maxIterations returns the maximum number of iterations of all loops in an expression. The iterations of an inner loop
// count once per iteration of the outer loop.
func maxIterations(e celast.Expr) (n uint64) {
	add := func(list ...celast.Expr) {
		for _, x := range list {
			n = cost.SafeAdd(n, maxIterations(x))
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

// maxElements returns the maximum number of elements that a loop over an expression visits.
func maxElements(e celast.Expr) uint64 {
	switch e.Kind() {
	case celast.IdentKind:
		switch name := e.AsIdent(); {
		case name == "segments":
			return MaxSegments
		case isSingleTable(name) || isMultiTable(name):
			return MaxNames
		}
		return MaxNames // a loop variable; no variable holds a longer list
	case celast.ListKind:
		return uint64(e.AsList().Size())
	case celast.MapKind:
		return uint64(e.AsMap().Size())
	case celast.SelectKind: // headers.name
		return MaxValues
	case celast.ComprehensionKind: // map and filter return at most as many elements as they iterate over
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
