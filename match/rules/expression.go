package rules

import (
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common"
	celast "cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/overloads"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

type activation = cel.Activation

// What cannot be a rule for its sheer size is refused before it is parsed far.
const (
	maxExpressionSize = 4096 // of one expression; the longest worked rule has 300
	maxNesting        = 48   // of nesting
	maxNodes          = 1500 // of the checked tree
)

// language is the environment of all expressions: made when first asked for, as an agent without rules needs none.
var language = sync.OnceValues(func() (*cel.Env, error) {
	text, list := cel.StringType, cel.ListType(cel.StringType)
	o := []cel.EnvOption{
		cel.Variable("method", text), cel.Variable("path", text), cel.Variable("peer", text),
		cel.Variable("segments", list), cel.Variable("size", cel.IntType), cel.Variable("hint", cel.DurationType),
		cel.OptionalTypes(), cel.HomogeneousAggregateLiterals(),
		cel.ParserExpressionSizeLimit(maxExpressionSize), cel.ParserRecursionLimit(maxNesting), cel.ExpressionNodeLimit(maxNodes),
		cel.ASTValidators(cel.ValidateRegexLiterals(), cel.ValidateDurationLiterals(), cel.ValidateTimestampLiterals()),
	}
	for _, t := range tables {
		o = append(o, cel.Variable(t.single, cel.MapType(text, text)), cel.Variable(t.whole, cel.MapType(text, list)))
	}
	whole := cost.ResultSize(cost.AtMost(cost.Arg(0)))
	read := cost.EvalCost(cost.Sum(cost.Const(1), cost.Scale(cost.Arg(0), cost.StringTraversalCostFactor)))
	both := cost.EvalCost(cost.Sum(cost.Const(1), cost.Scale(cost.Sum(cost.Arg(0), cost.Arg(1)), cost.StringTraversalCostFactor)))
	unary := func(name string, result *cel.Type, of func(string) ref.Val) {
		id := name + "_string"
		o = append(o, cel.Function(name, cel.Overload(id, []*cel.Type{text}, result,
			cel.UnaryBinding(func(v ref.Val) ref.Val { return of(string(v.(types.String))) }))),
			cel.CostModel(cost.Overload(id, read, whole)))
	}
	binary := func(name string, second, result *cel.Type, of func(string, ref.Val) ref.Val, charge cost.OverloadModelOption) {
		id := name + "_string_" + second.String()
		o = append(o, cel.Function(name, cel.Overload(id, []*cel.Type{text, second}, result,
			cel.BinaryBinding(func(v, w ref.Val) ref.Val { return of(string(v.(types.String)), w) }))),
			cel.CostModel(cost.Overload(id, charge, whole)))
	}
	unary("lower", text, func(s string) ref.Val { return types.String(strings.ToLower(s)) })
	unary("whole", cel.OptionalType(cel.IntType), func(s string) ref.Val {
		n, err := strconv.ParseInt(s, 10, 64)
		return optionalOf(types.Int(n), err)
	})
	unary("number", cel.OptionalType(cel.DoubleType), func(s string) ref.Val {
		n, err := strconv.ParseFloat(s, 64)
		if math.IsNaN(n) || math.IsInf(n, 0) {
			err = strconv.ErrRange
		}
		return optionalOf(types.Double(n), err)
	})
	unary("span", cel.OptionalType(cel.DurationType), func(s string) ref.Val {
		d, err := time.ParseDuration(s)
		return optionalOf(types.Duration{Duration: d}, err)
	})
	binary("before", text, text, func(s string, mark ref.Val) ref.Val {
		head, _, _ := strings.Cut(s, string(mark.(types.String)))
		return types.String(head)
	}, both)
	binary("after", text, text, func(s string, mark ref.Val) ref.Val {
		_, tail, _ := strings.Cut(s, string(mark.(types.String)))
		return types.String(tail)
	}, both)
	binary("bucket", cel.IntType, cel.IntType, func(s string, of ref.Val) ref.Val {
		n := int64(of.(types.Int))
		if n < 1 {
			return types.NewErr("bucket of %d parts", n)
		}
		h := fnv.New64a()
		h.Write([]byte(s))
		return types.Int(h.Sum64() % uint64(n))
	}, read)
	// The library gives what an optional look-up finds no size; it is that of the table's values.
	for _, id := range []string{"map_optindex_optional_value", "list_optindex_optional_int"} {
		o = append(o, cel.CostModel(cost.Overload(id, cost.EvalCost(cost.Const(1)), cost.ResultSize(cost.Optional(cost.ArgElem(0))))))
	}
	for _, id := range []string{overloads.IntToString, overloads.UintToString, overloads.DoubleToString, overloads.BoolToString,
		overloads.DurationToString, overloads.TimestampToString} { // the longest, a double, has 24 letters
		o = append(o, cel.CostModel(cost.Overload(id, cost.EvalCost(cost.Const(1)), cost.ResultSize(cost.Const(40)))))
	}
	return cel.NewEnv(o...)
})

func optionalOf(v ref.Val, err error) ref.Val {
	if err != nil {
		return types.OptionalNone
	}
	return types.OptionalOf(v)
}

// stringLiteral gives the text of an expression that is one.
func stringLiteral(e celast.Expr) (string, bool) {
	if e.Kind() != celast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// ExpressionError is what is wrong with an expression: where, from 1 on, and what. Lines and columns count within the expression.
type ExpressionError struct {
	Line, Column int
	Message      string
}

func (f *ExpressionError) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// expression is one expression, compiled.
type expression struct {
	text      string
	ast       *cel.Ast
	program   cel.Program
	maxCost   uint64 // the most it can cost, as CEL counts
	maxRounds uint64 // the most rounds its loops can make
}

// compileExpression checks an expression against the type that is wanted, bounds its cost, and makes it ready to run.
func compileExpression(text string, wanted *cel.Type) (*expression, *ExpressionError) {
	env, err := language()
	if err != nil {
		return nil, &ExpressionError{1, 1, err.Error()}
	}
	if len(text) > maxExpressionSize { // before the parser sees it: it reads all of what is too long
		return nil, &ExpressionError{1, 1, fmt.Sprintf("the expression has %d bytes, at most %d are taken", len(text), maxExpressionSize)}
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &ExpressionError{max(first.Location.Line(), 1), max(first.Location.Column(), 0) + 1, first.Message}
	}
	if got := ast.OutputType(); !got.IsExactType(wanted) {
		return nil, &ExpressionError{1, 1, fmt.Sprintf("it gives %s, where %s is wanted", got, wanted)}
	}
	compiled := &expression{text: text, ast: ast}
	patterns, at := patternsIn(ast)
	if at != nil {
		return nil, at
	}
	estimate, err := env.EstimateCost(ast, costEstimator{})
	if err != nil {
		return nil, &ExpressionError{1, 1, err.Error()}
	}
	if compiled.maxCost = estimate.Max; compiled.maxCost == math.MaxUint64 {
		return nil, &ExpressionError{1, 1, "its cost has no bound"}
	}
	options := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if compiled.maxRounds = maxRounds(ast.NativeRep().Expr()); compiled.maxRounds > 0 {
		options = append(options, cel.CostLimit(compiled.maxCost), cel.CostTracking(patterns))
	}
	compiled.program, err = env.Program(ast, options...)
	if err != nil {
		return nil, &ExpressionError{1, 1, err.Error()}
	}
	return compiled, nil
}

// patternsIn gives the shapes of the patterns in an expression, or where one is not written out: its cost would be
// known only when it is too late.
func patternsIn(ast *cel.Ast) (patterns patternCosts, computed *ExpressionError) {
	tree := ast.NativeRep()
	patterns = patternCosts{}
	celast.PostOrderVisit(tree.Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		if e.Kind() != celast.CallKind || e.AsCall().FunctionName() != "matches" {
			return
		}
		args := e.AsCall().Args()
		if text, ok := stringLiteral(args[len(args)-1]); ok {
			patterns[text] = patternCostOf(text)
		} else if computed == nil {
			at := expressionErrorAt(tree.SourceInfo().GetStartLocation(args[len(args)-1].ID()))
			computed = &ExpressionError{at.Line, at.Column, "a pattern must be written out"}
		}
	}))
	return patterns, computed
}

func expressionErrorAt(l common.Location) ExpressionError {
	return ExpressionError{Line: max(l.Line(), 1), Column: max(l.Column(), 0) + 1}
}

// constantValue gives the value of a formula that asks for nothing, nil if it asks or cannot be computed.
func (f *expression) constantValue() ref.Val {
	hasVariables := false
	celast.PostOrderVisit(f.ast.NativeRep().Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		hasVariables = hasVariables || e.Kind() == celast.IdentKind
	}))
	if hasVariables {
		return nil
	}
	v, err := f.eval(&activationView{subject: emptySubject{}})
	if err != nil {
		return nil
	}
	return v
}

// eval runs a formula. What it cannot compute, or what would cost more than its bound, is an error.
func (f *expression) eval(v *activationView) (ref.Val, error) {
	got, _, err := f.program.Eval(v)
	if err != nil {
		return nil, err
	}
	if types.IsUnknownOrError(got) {
		return nil, fmt.Errorf("%v", got)
	}
	return got, nil
}
