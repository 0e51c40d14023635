package rules

import (
	"fmt"
	"math"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common"
	celast "cel.dev/cel-go/common/ast"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

// An expression that is too large is refused before much of it is parsed.
const (
	maxExpressionSize = 4096 // bytes; the longest example in docs/matching.md has 300
	maxNesting        = 48
	maxNodes          = 1500 // of the checked tree
)

// stringLiteral returns the text of an expression that is a string literal.
func stringLiteral(e celast.Expr) (string, bool) {
	if e.Kind() != celast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// ExpressionError says what is wrong with an expression, and where. Lines and columns count from 1 within the
// expression.
type ExpressionError struct {
	Line    int
	Column  int
	Message string
}

func (f *ExpressionError) Error() string {
	return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
}

// newExpressionError is an error of a whole expression.
func newExpressionError(message string) *ExpressionError {
	return &ExpressionError{1, 1, message}
}

// expression is one expression, compiled.
type expression struct {
	text      string
	ast       *cel.Ast
	program   cel.Program
	maxCost   uint64 // in CEL's units
	maxRounds uint64 // of its loops
}

// compileExpression checks an expression against the wanted type, bounds its cost, and makes it ready to run.
func compileExpression(text string, wanted *cel.Type) (*expression, *ExpressionError) {
	env, err := language()
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	if len(text) > maxExpressionSize { // the parser would read all of it
		return nil, newExpressionError(fmt.Sprintf("the expression has %d bytes, at most %d are taken", len(text),
			maxExpressionSize))
	}
	ast, issues := env.Compile(text)
	if issues.Err() != nil {
		first := issues.Errors()[0]
		return nil, &ExpressionError{max(first.Location.Line(), 1), max(first.Location.Column(), 0) + 1, first.Message}
	}
	if got := ast.OutputType(); !got.IsExactType(wanted) {
		return nil, newExpressionError(fmt.Sprintf("it gives %s, where %s is wanted", got, wanted))
	}
	compiled := &expression{text: text, ast: ast}
	patterns, at := patternsIn(ast)
	if at != nil {
		return nil, at
	}
	estimate, err := env.EstimateCost(ast, costEstimator{})
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	if compiled.maxCost = estimate.Max; compiled.maxCost == math.MaxUint64 {
		return nil, newExpressionError("its cost has no bound")
	}
	options := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if compiled.maxRounds = maxRounds(ast.NativeRep().Expr()); compiled.maxRounds > 0 {
		options = append(options, cel.CostLimit(compiled.maxCost), cel.CostTracking(patterns))
	}
	compiled.program, err = env.Program(ast, options...)
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	return compiled, nil
}

// patternsIn returns the costs of the patterns in an expression, or an error if one is computed: its cost would be
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

// expressionErrorAt is an error without a message at a place.
func expressionErrorAt(l common.Location) ExpressionError {
	return ExpressionError{Line: max(l.Line(), 1), Column: max(l.Column(), 0) + 1}
}

// constantValue returns the value of an expression without variables, nil if it has some or cannot be computed.
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

// eval computes an expression. If it cannot be computed, or would cost more than its bound, that is an error.
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
