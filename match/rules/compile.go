package rules

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
	"unicode"
	"unicode/utf8"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"

	"sagelever/match"
)

// outputField identifies one of the four outputs that a rule can set.
type outputField int

const (
	outputWorkload outputField = iota
	outputKey
	outputCustomer
	outputCost
	outputCount // number of outputs
)

var outputNames = [outputCount]string{"workload", "key", "customer", "cost"}

// errorPolicy is how an evaluation error of a rule is handled.
type errorPolicy int

const (
	tryNext       errorPolicy = iota // evaluate the next rule
	refuseMessage                    // reject the message
	useFallback                      // use a literal as the value of the rule's only output
)

// compiledRule is a rule that is ready to be evaluated.
type compiledRule struct {
	Rule
	when       *expression
	outputs    [outputCount]*expression // nil for an output that the rule does not set
	onError    errorPolicy
	fallback   ref.Val       // the output's value on an error if onError is useFallback
	bound      time.Duration // on the time that all expressions together take
	errorCount atomic.Int64
}

// deployment validates rules and their outputs against the workloads and customers of a deployment.
type deployment match.Deployment

// compileWithin compiles a rule and rejects it if its bound exceeds the budget. The caller must set the Rule and Name
// of the error.
func (d deployment) compileWithin(written Rule, budget time.Duration) (*compiledRule, *RuleError) {
	compiled, err := d.compileRule(written)
	if err != nil {
		return nil, err
	}
	if compiled.bound <= budget {
		return compiled, nil
	}
	field := "when"
	for i, output := range compiled.outputs { // report an output that is more expensive than the condition
		if output != nil && output.maxCost > compiled.when.maxCost {
			field = outputNames[i]
		}
	}
	reason := fmt.Sprintf("the rule may take %s by itself, the budget is %s", compiled.bound, budget)
	return nil, fieldError(field, newExpressionError(reason))
}

// fieldError returns the error of one field of a rule, without the rule's index and name.
func fieldError(field string, err *ExpressionError) *RuleError {
	return &RuleError{Field: field, ExpressionError: *err}
}

// compileRule compiles and validates one rule. The caller must set the Rule and Name of the error.
func (d deployment) compileRule(written Rule) (*compiledRule, *RuleError) {
	r := &compiledRule{Rule: written}
	var err *ExpressionError
	if r.when, err = compileExpression(written.When, cel.BoolType); err != nil {
		return nil, fieldError("when", err)
	}
	r.bound = r.when.timeBound()
	numOutputs := 0
	for i, text := range []string{written.Workload, written.Key, written.Customer, written.Cost} {
		if text == "" {
			continue
		}
		wanted := cel.StringType
		if outputField(i) == outputCost {
			wanted = cel.DurationType
		}
		if r.outputs[i], err = compileExpression(text, wanted); err != nil {
			return nil, fieldError(outputNames[i], err)
		}
		r.bound += r.outputs[i].timeBound()
		numOutputs++
	}
	if numOutputs == 0 {
		return nil, fieldError("when", newExpressionError(
			"the rule decides nothing: workload, key, customer or cost is wanted"))
	}
	if err := d.checkConstants(r); err != nil {
		return nil, err
	}
	if err := d.compileOtherwise(r, numOutputs); err != nil {
		return nil, fieldError("otherwise", err)
	}
	return r, nil
}

// compileOtherwise sets the error policy of a rule with the given number of outputs.
func (d deployment) compileOtherwise(r *compiledRule, numOutputs int) *ExpressionError {
	switch text := strings.TrimSpace(r.Otherwise); {
	case text == "" || text == "next":
		return nil
	case text == "refuse":
		r.onError = refuseMessage
		return nil
	case numOutputs != 1:
		return newExpressionError("a value can stand in only where the rule decides one matter; else next or refuse")
	default:
		return d.compileFallback(r, text)
	}
}

// compileFallback compiles the literal that replaces the rule's only output on an error.
func (d deployment) compileFallback(r *compiledRule, text string) *ExpressionError {
	for i, output := range r.outputs {
		if output == nil {
			continue
		}
		value, err := compileExpression(text, output.ast.OutputType())
		if err != nil {
			return err
		}
		if r.fallback = value.constantValue(); r.fallback == nil {
			return newExpressionError("it must be a value, not a computation")
		}
		if err := d.assign(outputField(i), r.fallback, &match.Judgement{}); err != nil {
			return newExpressionError(err.Error())
		}
		r.onError = useFallback
	}
	return nil
}

// checkConstants rejects a rule with a constant output that is invalid, or with a constant workload that is more
// repeatable than every message that the condition can match.
func (d deployment) checkConstants(r *compiledRule) *RuleError {
	var constants match.Judgement
	for i, output := range r.outputs {
		if output == nil {
			continue
		}
		value := output.constantValue()
		if value == nil {
			continue
		}
		if err := d.assign(outputField(i), value, &constants); err != nil {
			return fieldError(outputNames[i], newExpressionError(err.Error()))
		}
	}
	workload := constants.Workload
	if workload == "" {
		return nil
	}
	required := match.RepeatableBy(d.Effects[workload])
	for _, test := range indexTests(r.when.ast.NativeRep().Expr()) {
		if sent := d.mostRepeatable(test); required > sent {
			return fieldError("workload", newExpressionError(fmt.Sprintf(
				"what the condition lets through is %s as it is sent; %s is %s", sent, workload, required)))
		}
	}
	return nil
}

// mostRepeatable returns the highest Repeatable value of the messages that can pass a test.
func (d deployment) mostRepeatable(test indexTest) match.Repeatable {
	most := match.Effectful
	for _, text := range test.equals {
		most = max(most, d.repeatableIfEqual(test.attribute, text))
	}
	for _, text := range test.prefixes {
		sent := match.Pure
		if test.attribute.source == "path" {
			sent = d.repeatableByPath(text, false)
		}
		most = max(most, sent)
	}
	return most
}

// repeatableIfEqual returns the highest Repeatable value of the messages whose attribute equals a text.
func (d deployment) repeatableIfEqual(a attribute, text string) match.Repeatable {
	switch {
	case a.source == "method" && text != "GET" && text != "HEAD":
		return match.Receipted
	case a.source == "segments" && a.segment == 0 && d.Effects[text] != "":
		return match.RepeatableBy(d.Effects[text])
	case a.source == "path":
		return d.repeatableByPath(text, true)
	}
	return match.Pure
}

// repeatableByPath returns the highest Repeatable value of messages to a path, or to all paths with that prefix if
// complete is false.
func (d deployment) repeatableByPath(path string, complete bool) match.Repeatable {
	workload, _, segmentEnds := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if effect := d.Effects[workload]; effect != "" && (segmentEnds || complete) {
		return match.RepeatableBy(effect)
	}
	return match.Pure
}

// maxAssignedCost is the highest cost that a rule may give a message.
const maxAssignedCost = time.Hour

// Errors of invalid keys.
var (
	errEmpty        = errors.New("it is empty")
	errTooLong      = fmt.Errorf("it is longer than %d bytes", MaxKeyLength)
	errNotPlainText = errors.New("it is no plain text")
)

// assign sets a field of a judgement to the value of an output. It returns an error if the value is invalid.
func (d deployment) assign(output outputField, value ref.Val, j *match.Judgement) error {
	if output == outputCost {
		j.Cost = value.(types.Duration).Duration
		if j.Cost <= 0 || j.Cost > maxAssignedCost {
			return fmt.Errorf("a cost of %s, where more than 0 and at most 1h is wanted", j.Cost)
		}
		return nil
	}
	text := string(value.(types.String))
	switch output {
	case outputWorkload:
		j.Workload = text
		if d.Effects[text] == "" {
			return fmt.Errorf("no such workload: %.40q", text)
		}
	case outputCustomer:
		j.Customer = text
		if !slices.Contains(d.Customers, text) {
			return fmt.Errorf("no such customer: %.40q", text)
		}
	case outputKey:
		j.Key = text
		return checkKey(text)
	}
	return nil
}

func checkKey(key string) error {
	switch {
	case key == "":
		return errEmpty
	case len(key) > MaxKeyLength:
		return errTooLong
	case !utf8.ValidString(key) || strings.ContainsFunc(key, unicode.IsControl):
		return errNotPlainText
	}
	return nil
}
