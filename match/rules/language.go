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
	mostLetters = 4096 // of one expression; the longest worked rule has 300
	mostDepth   = 48   // of nesting
	mostNodes   = 1500 // of the checked tree
)

// language is the environment of all expressions: made when first asked for, as an agent without rules needs none.
var language = sync.OnceValues(func() (*cel.Env, error) {
	text, list := cel.StringType, cel.ListType(cel.StringType)
	o := []cel.EnvOption{
		cel.Variable("method", text), cel.Variable("path", text), cel.Variable("peer", text),
		cel.Variable("segments", list), cel.Variable("size", cel.IntType), cel.Variable("hint", cel.DurationType),
		cel.OptionalTypes(), cel.HomogeneousAggregateLiterals(),
		cel.ParserExpressionSizeLimit(mostLetters), cel.ParserRecursionLimit(mostDepth), cel.ExpressionNodeLimit(mostNodes),
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
		return optional(types.Int(n), err)
	})
	unary("number", cel.OptionalType(cel.DoubleType), func(s string) ref.Val {
		n, err := strconv.ParseFloat(s, 64)
		if math.IsNaN(n) || math.IsInf(n, 0) {
			err = strconv.ErrRange
		}
		return optional(types.Double(n), err)
	})
	unary("span", cel.OptionalType(cel.DurationType), func(s string) ref.Val {
		d, err := time.ParseDuration(s)
		return optional(types.Duration{Duration: d}, err)
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

func optional(v ref.Val, err error) ref.Val {
	if err != nil {
		return types.OptionalNone
	}
	return types.OptionalOf(v)
}

// literal gives the text of an expression that is one.
func literal(e celast.Expr) (string, bool) {
	if e.Kind() != celast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// Fault is what is wrong with an expression: where, from 1 on, and what. Lines and columns count within the expression.
type Fault struct {
	Line, Column int
	Text         string
}

func (f *Fault) Error() string { return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Text) }

// formula is one expression, compiled.
type formula struct {
	text  string
	ast   *cel.Ast
	run   cel.Program
	units uint64 // the most it can cost, as CEL counts
	turns uint64 // the most rounds its loops can make
}

// compile checks an expression against the type that is wanted, bounds its cost, and makes it ready to run.
func compile(text string, wants *cel.Type) (*formula, *Fault) {
	env, err := language()
	if err != nil {
		return nil, &Fault{1, 1, err.Error()}
	}
	if len(text) > mostLetters { // before the parser sees it: it reads all of what is too long
		return nil, &Fault{1, 1, fmt.Sprintf("the expression has %d bytes, at most %d are taken", len(text), mostLetters)}
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &Fault{max(first.Location.Line(), 1), max(first.Location.Column(), 0) + 1, first.Message}
	}
	if got := ast.OutputType(); !got.IsExactType(wants) {
		return nil, &Fault{1, 1, fmt.Sprintf("it gives %s, where %s is wanted", got, wants)}
	}
	f := &formula{text: text, ast: ast}
	patterns, at := patternsOf(ast)
	if at != nil {
		return nil, at
	}
	most, err := env.EstimateCost(ast, sizes{})
	if err != nil {
		return nil, &Fault{1, 1, err.Error()}
	}
	if f.units = most.Max; f.units == math.MaxUint64 {
		return nil, &Fault{1, 1, "its cost has no bound"}
	}
	o := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if f.turns = rounds(ast.NativeRep().Expr()); f.turns > 0 {
		o = append(o, cel.CostLimit(f.units), cel.CostTracking(patterns))
	}
	f.run, err = env.Program(ast, o...)
	if err != nil {
		return nil, &Fault{1, 1, err.Error()}
	}
	return f, nil
}

// patternsOf gives the shapes of the patterns in an expression, or where one is not written out: its cost would be
// known only when it is too late.
func patternsOf(ast *cel.Ast) (of spent, stray *Fault) {
	tree := ast.NativeRep()
	of = spent{}
	celast.PostOrderVisit(tree.Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		if e.Kind() != celast.CallKind || e.AsCall().FunctionName() != "matches" {
			return
		}
		args := e.AsCall().Args()
		if text, ok := literal(args[len(args)-1]); ok {
			of[text] = shapeOf(text)
		} else if stray == nil {
			at := place(tree.SourceInfo().GetStartLocation(args[len(args)-1].ID()))
			stray = &Fault{at.Line, at.Column, "a pattern must be written out"}
		}
	}))
	return of, stray
}

func place(l common.Location) Fault {
	return Fault{Line: max(l.Line(), 1), Column: max(l.Column(), 0) + 1}
}

// constant gives the value of a formula that asks for nothing, nil if it asks or cannot be computed.
func (f *formula) constant() ref.Val {
	asks := false
	celast.PostOrderVisit(f.ast.NativeRep().Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		asks = asks || e.Kind() == celast.IdentKind
	}))
	if asks {
		return nil
	}
	v, err := f.eval(&view{of: nobody{}})
	if err != nil {
		return nil
	}
	return v
}

// eval runs a formula. What it cannot compute, or what would cost more than its bound, is an error.
func (f *formula) eval(v *view) (ref.Val, error) {
	got, _, err := f.run.Eval(v)
	if err != nil {
		return nil, err
	}
	if types.IsUnknownOrError(got) {
		return nil, fmt.Errorf("%v", got)
	}
	return got, nil
}
