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

// Limits on the size of an expression. An expression that exceeds them is rejected before most of it is parsed.
const (
	maxExpressionSize = 4096 // bytes; the longest example in docs/matching.md takes 300
	maxNesting        = 48
	maxNodes          = 1500 // of the type-checked syntax tree
)

// stringLiteral returns the value of a string literal, and false for any other expression.
func stringLiteral(e celast.Expr) (string, bool) {
	if e.Kind() != celast.LiteralKind {
		return "", false
	}
	s, ok := e.AsLiteral().(types.String)
	return string(s), ok
}

// ExpressionError reports an invalid expression. Lines and columns count from 1 within the expression.
type ExpressionError struct {
	Line    int
	Column  int
	Message string
}

// Error implements error.
func (e *ExpressionError) Error() string {
	return fmt.Sprintf("%d:%d: %s", e.Line, e.Column, e.Message)
}

// newExpressionError returns an error at the beginning of an expression.
func newExpressionError(message string) *ExpressionError {
	return &ExpressionError{1, 1, message}
}

// expression is a compiled expression.
type expression struct {
	text          string
	ast           *cel.Ast
	program       cel.Program
	maxCost       uint64 // in CEL's units
	maxIterations uint64 // of all loops
}

// compileExpression compiles an expression, checks that it has the wanted type, and bounds its cost.
func compileExpression(text string, wanted *cel.Type) (*expression, *ExpressionError) {
	env, err := language()
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	if len(text) > maxExpressionSize { // checked first, because the parser would read the complete text
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
	patterns, patternError := patternsIn(ast)
	if patternError != nil {
		return nil, patternError
	}
	estimate, err := env.EstimateCost(ast, costEstimator{})
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	if compiled.maxCost = estimate.Max; compiled.maxCost == math.MaxUint64 {
		return nil, newExpressionError("its cost has no bound")
	}
	options := []cel.ProgramOption{cel.EvalOptions(cel.OptOptimize)}
	if compiled.maxIterations = maxIterations(ast.NativeRep().Expr()); compiled.maxIterations > 0 {
		options = append(options, cel.CostLimit(compiled.maxCost), cel.CostTracking(patterns))
	}
	compiled.program, err = env.Program(ast, options...)
	if err != nil {
		return nil, newExpressionError(err.Error())
	}
	return compiled, nil
}

// patternsIn returns the costs of the patterns in an expression. It returns an error if a pattern is not a literal,
// because the cost of a computed pattern cannot be bounded when the expression is compiled.
func patternsIn(ast *cel.Ast) (patterns patternCosts, err *ExpressionError) {
	tree := ast.NativeRep()
	patterns = patternCosts{}
	celast.PostOrderVisit(tree.Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		if e.Kind() != celast.CallKind || e.AsCall().FunctionName() != "matches" {
			return
		}
		args := e.AsCall().Args()
		if text, ok := stringLiteral(args[len(args)-1]); ok {
			patterns[text] = patternCostOf(text)
		} else if err == nil {
			at := expressionErrorAt(tree.SourceInfo().GetStartLocation(args[len(args)-1].ID()))
			err = &ExpressionError{at.Line, at.Column, "a pattern must be written out"}
		}
	}))
	return patterns, err
}

// expressionErrorAt returns an error without a message at a location.
func expressionErrorAt(location common.Location) ExpressionError {
	return ExpressionError{Line: max(location.Line(), 1), Column: max(location.Column(), 0) + 1}
}

// constantValue returns the value of an expression without variables. It returns nil if the expression has variables or
// its evaluation fails.
func (x *expression) constantValue() ref.Val {
	hasVariables := false
	celast.PostOrderVisit(x.ast.NativeRep().Expr(), celast.NewExprVisitor(func(e celast.Expr) {
		hasVariables = hasVariables || e.Kind() == celast.IdentKind
	}))
	if hasVariables {
		return nil
	}
	value, err := x.eval(&activationView{subject: emptySubject{}})
	if err != nil {
		return nil
	}
	return value
}

// eval evaluates the expression. It returns an error if the evaluation fails or exceeds the cost bound.
func (x *expression) eval(v *activationView) (ref.Val, error) {
	value, _, err := x.program.Eval(v)
	if err != nil {
		return nil, err
	}
	if types.IsUnknownOrError(value) {
		return nil, fmt.Errorf("%v", value)
	}
	return value, nil
}
