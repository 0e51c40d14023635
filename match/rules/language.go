package rules

import (
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/cost"
	"cel.dev/cel-go/common/overloads"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
)

// language returns the CEL environment of all expressions. It is created on first use, because an agent without rules
// does not need it.
var language = sync.OnceValues(func() (*cel.Env, error) {
	options := variables()
	options = append(options, functions()...)
	options = append(options, costModels()...)
	return cel.NewEnv(options...)
})

// variables returns the options that declare the variables of the language and its limits.
func variables() []cel.EnvOption {
	text, list := cel.StringType, cel.ListType(cel.StringType)
	options := []cel.EnvOption{
		cel.Variable("method", text),
		cel.Variable("path", text),
		cel.Variable("peer", text),
		cel.Variable("segments", list),
		cel.Variable("size", cel.IntType),
		cel.Variable("hint", cel.DurationType),
		cel.OptionalTypes(),
		cel.HomogeneousAggregateLiterals(),
		cel.ParserExpressionSizeLimit(maxExpressionSize),
		cel.ParserRecursionLimit(maxNesting),
		cel.ExpressionNodeLimit(maxNodes),
		cel.ASTValidators(
			cel.ValidateRegexLiterals(), cel.ValidateDurationLiterals(), cel.ValidateTimestampLiterals()),
	}
	for _, table := range tables {
		options = append(options,
			cel.Variable(table.single, cel.MapType(text, text)),
			cel.Variable(table.multi, cel.MapType(text, list)))
	}
	return options
}

// sizeOfFirst is the cost model of a result that is no larger than the first argument.
func sizeOfFirst() cost.OverloadModelOption { return cost.ResultSize(cost.AtMost(cost.Arg(0))) }

// readFirst is the cost model of a function that reads its first argument.
func readFirst() cost.OverloadModelOption {
	return cost.EvalCost(cost.Sum(cost.Const(1), cost.Scale(cost.Arg(0), cost.StringTraversalCostFactor)))
}

// readBoth is the cost model of a function that reads both arguments.
func readBoth() cost.OverloadModelOption {
	both := cost.Sum(cost.Arg(0), cost.Arg(1))
	return cost.EvalCost(cost.Sum(cost.Const(1), cost.Scale(both, cost.StringTraversalCostFactor)))
}

// unary declares a function of a text.
func unary(name string, result *cel.Type, compute func(string) ref.Val) []cel.EnvOption {
	id := name + "_string"
	binding := cel.UnaryBinding(func(v ref.Val) ref.Val { return compute(string(v.(types.String))) })
	return []cel.EnvOption{
		cel.Function(name, cel.Overload(id, []*cel.Type{cel.StringType}, result, binding)),
		cel.CostModel(cost.Overload(id, readFirst(), sizeOfFirst())),
	}
}

// binary declares a function of a text and a second argument.
func binary(
	name string, second, result *cel.Type, compute func(string, ref.Val) ref.Val, evalCost cost.OverloadModelOption,
) []cel.EnvOption {
	id := name + "_string_" + second.String()
	binding := cel.BinaryBinding(func(v, w ref.Val) ref.Val { return compute(string(v.(types.String)), w) })
	return []cel.EnvOption{
		cel.Function(name, cel.Overload(id, []*cel.Type{cel.StringType, second}, result, binding)),
		cel.CostModel(cost.Overload(id, evalCost, sizeOfFirst())),
	}
}

// functions returns the options that declare the language's own functions, which docs/matching.md describes.
func functions() []cel.EnvOption {
	text := cel.StringType
	var options []cel.EnvOption
	add := func(declared []cel.EnvOption) { options = append(options, declared...) }
	add(unary("lower", text, func(s string) ref.Val { return types.String(strings.ToLower(s)) }))
	add(unary("whole", cel.OptionalType(cel.IntType), parseWhole))
	add(unary("number", cel.OptionalType(cel.DoubleType), parseNumber))
	add(unary("span", cel.OptionalType(cel.DurationType), parseSpan))
	add(binary("before", text, text, func(s string, separator ref.Val) ref.Val {
		head, _, _ := strings.Cut(s, string(separator.(types.String)))
		return types.String(head)
	}, readBoth()))
	add(binary("after", text, text, func(s string, separator ref.Val) ref.Val {
		_, tail, _ := strings.Cut(s, string(separator.(types.String)))
		return types.String(tail)
	}, readBoth()))
	add(binary("bucket", cel.IntType, cel.IntType, bucket, readFirst()))
	return options
}

// parseWhole parses a decimal integer.
func parseWhole(s string) ref.Val {
	n, err := strconv.ParseInt(s, 10, 64)
	return optionalOf(types.Int(n), err)
}

// parseNumber parses a finite number.
func parseNumber(s string) ref.Val {
	n, err := strconv.ParseFloat(s, 64)
	if math.IsNaN(n) || math.IsInf(n, 0) {
		err = strconv.ErrRange
	}
	return optionalOf(types.Double(n), err)
}

// parseSpan parses a duration such as 1.5s.
func parseSpan(s string) ref.Val {
	d, err := time.ParseDuration(s)
	return optionalOf(types.Duration{Duration: d}, err)
}

// optionalOf returns an optional with the value, or the empty optional if err is not nil.
func optionalOf(v ref.Val, err error) ref.Val {
	if err != nil {
		return types.OptionalNone
	}
	return types.OptionalOf(v)
}

// bucket returns the bucket of a text by its hash (FNV-1a, 64 bits): a number from 0 to buckets-1.
func bucket(s string, buckets ref.Val) ref.Val {
	n := int64(buckets.(types.Int))
	if n < 1 {
		return types.NewErr("bucket of %d parts", n)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s)) // never fails
	return types.Int(hash.Sum64() % uint64(n))
}

// costModels returns the cost models of CEL's own functions for which the library does not bound the result's size.
func costModels() []cel.EnvOption {
	const longestNumber = 40 // characters; the longest text is that of a double with 24 characters
	var options []cel.EnvOption
	add := func(id string, size cost.OverloadModelOption) {
		options = append(options, cel.CostModel(cost.Overload(id, cost.EvalCost(cost.Const(1)), size)))
	}
	for _, id := range []string{"map_optindex_optional_value", "list_optindex_optional_int"} {
		add(id, cost.ResultSize(cost.Optional(cost.ArgElem(0)))) // the size of a value of the table
	}
	for _, id := range []string{
		overloads.IntToString, overloads.UintToString, overloads.DoubleToString, overloads.BoolToString,
		overloads.DurationToString, overloads.TimestampToString,
	} {
		add(id, cost.ResultSize(cost.Const(longestNumber)))
	}
	return options
}
