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
// cost, which charges a tenth for a letter and one for a step; rounds are those of loops, whose steps are dearer than it
// thinks. The constants are fixed, so that a verdict is the same on every machine. They rest on BenchmarkUnits, on one
// shared core of 2 to 3 GHz (docs/matching.md has the figures): no kind of operation took more than 0.95 of its bound.
const (
	unitTime  = 100 * time.Nanosecond  // steps and letters took 3 to 60 ns a unit
	evalTime  = time.Microsecond       // one evaluation by itself took 0.3 to 0.8 us: variables, look-ups and result
	roundTime = 2 * time.Microsecond   // one round, counted against the limit as it runs, took 0.7 to 1.8 us
	stepUnits = 0.16                   // of a pattern: an instruction at a letter took 1.5 to 10 ns
	lookTime  = 1500 * time.Nanosecond // finding the rules by one attribute: a hash, and a search over 10,000 texts
)

const unbounded = math.MaxUint64

// bound is the longest that one evaluation can take.
func (f *formula) bound() time.Duration {
	const most = uint64(time.Hour) // far past any budget, and no sum of some thousands overflows
	t := cost.SafeAdd(cost.SafeMultiply(f.units, uint64(unitTime)), cost.SafeMultiply(f.turns, uint64(roundTime)), uint64(evalTime))
	return time.Duration(min(t, most))
}

// sizes tells the checker how large the variables can be, and what a pattern costs.
type sizes struct{}

func (sizes) EstimateSize(n cost.AstNode) *cost.SizeEstimate {
	path := n.Path()
	if len(path) == 0 {
		return nil
	}
	most := uint64(MostText)
	switch last := path[len(path)-1]; {
	case last == "@keys":
		most = MostName
	case path[0] == "segments" && len(path) == 1:
		most = MostSegments
	case isWhole(path[0]) && len(path) == 2: // the values of one name
		most = MostValues
	case len(path) == 1 && (isWhole(path[0]) || isSingle(path[0])):
		most = MostNames
	}
	return &cost.SizeEstimate{Min: 0, Max: most}
}

func isSingle(name string) bool { return tableOf(name, "") >= 0 }
func isWhole(name string) bool  { return tableOf("", name) >= 0 }

// tableOf finds a table by one of its two variables.
func tableOf(single, whole string) int {
	for i, t := range tables {
		if t.single == single || t.whole == whole {
			return i
		}
	}
	return -1
}

// EstimateCallCost charges a pattern by its program: every instruction may be tried at every letter, as Go's matcher
// never goes back. CEL's own figure goes by the pattern's length, which says nothing of "{1,1000}".
func (sizes) EstimateCallCost(function, _ string, target *cost.AstNode, args []cost.AstNode) *cost.CallEstimate {
	if function != "matches" || len(args) == 0 {
		return nil
	}
	subject, pattern := target, args[len(args)-1]
	if subject == nil {
		subject = &args[0]
	}
	text, ok := literal(pattern.Expr())
	if !ok {
		return &cost.CallEstimate{CostEstimate: cost.UnknownCostEstimate()}
	}
	letters := cost.EstimateSize(sizes{}, *subject).Max
	return &cost.CallEstimate{CostEstimate: cost.Estimate{Min: 0, Max: shapeOf(text).units(letters)}}
}

// shape is what a pattern's cost rests on.
type shape struct {
	steps   uint64 // instructions of its program
	letters uint64 // the most that it looks at: one tied to the text's beginning stops at its longest match
}

func shapeOf(pattern string) shape {
	tree, err := syntax.Parse(pattern, syntax.Perl)
	if err != nil {
		return shape{unbounded, unbounded}
	}
	tree = tree.Simplify()
	prog, err := syntax.Compile(tree)
	if err != nil {
		return shape{unbounded, unbounded}
	}
	s := shape{uint64(len(prog.Inst)), unbounded}
	if prog.StartCond()&syntax.EmptyBeginText != 0 {
		s.letters = longest(tree)
	}
	return s
}

func (s shape) units(letters uint64) uint64 {
	read := cost.SafeAdd(min(letters, s.letters), 1)
	return cost.SafeAdd(1, cost.SafeMultiplyByFactor(cost.SafeMultiply(read, s.steps), stepUnits))
}

// spent counts what patterns cost as a loop runs, by the same rule as their bound; all else CEL counts.
type spent map[string]shape

func (s spent) CallCost(function, _ string, args []ref.Val, _ ref.Val) *uint64 {
	if function != "matches" || len(args) != 2 {
		return nil
	}
	text, _ := args[0].(types.String)
	pattern, _ := args[1].(types.String)
	of, ok := s[string(pattern)]
	if !ok {
		return nil
	}
	units := of.units(uint64(len(text)))
	return &units
}

// longest is how many bytes a match can have at most.
func longest(r *syntax.Regexp) uint64 {
	const letter = 4 // bytes of the longest rune
	var of uint64
	switch r.Op {
	case syntax.OpLiteral:
		return letter * uint64(len(r.Rune))
	case syntax.OpCharClass, syntax.OpAnyChar, syntax.OpAnyCharNotNL:
		return letter
	case syntax.OpStar, syntax.OpPlus:
		return unbounded
	case syntax.OpRepeat:
		if r.Max < 0 {
			return unbounded
		}
		return cost.SafeMultiply(uint64(r.Max), longest(r.Sub[0]))
	case syntax.OpAlternate:
		for _, s := range r.Sub {
			of = max(of, longest(s))
		}
	default:
		for _, s := range r.Sub {
			of = cost.SafeAdd(of, longest(s))
		}
	}
	return of
}

// rounds is the most rounds that the loops of an expression can make, those within others by each of these.
func rounds(e celast.Expr) (n uint64) {
	add := func(list ...celast.Expr) {
		for _, x := range list {
			n = cost.SafeAdd(n, rounds(x))
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
		n = cost.SafeMultiply(cost.SafeAdd(n, 1), elements(c.IterRange()))
		add(c.IterRange(), c.AccuInit(), c.Result())
	}
	return n
}

// elements is how many a loop can find in an expression.
func elements(e celast.Expr) uint64 {
	switch e.Kind() {
	case celast.IdentKind:
		switch name := e.AsIdent(); {
		case name == "segments":
			return MostSegments
		case isSingle(name) || isWhole(name):
			return MostNames
		}
		return MostNames // a loop's own variable: a list of ours is no longer, one that is written is counted below
	case celast.ListKind:
		return uint64(e.AsList().Size())
	case celast.MapKind:
		return uint64(e.AsMap().Size())
	case celast.SelectKind: // headers.name
		return MostValues
	case celast.ComprehensionKind: // map and filter give no more than they go over
		return elements(e.AsComprehension().IterRange())
	case celast.CallKind:
		call := e.AsCall()
		args := call.Args()
		switch call.FunctionName() {
		case operators.Index, operators.OptIndex:
			return MostValues
		case operators.Conditional:
			return max(elements(args[1]), elements(args[2]))
		case operators.Add:
			return cost.SafeAdd(elements(args[0]), elements(args[1]))
		case "orValue":
			return max(elements(call.Target()), elements(args[0]))
		}
	}
	return unbounded
}
