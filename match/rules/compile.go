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

// outputField is one of the four things that a rule can decide.
type outputField int

const (
	outputWorkload outputField = iota
	outputKey
	outputCustomer
	outputCost
	outputCount // how many there are
)

var outputNames = [outputCount]string{"workload", "key", "customer", "cost"}

// errorPolicy is what follows an error of a rule.
type errorPolicy int

const (
	tryNext       errorPolicy = iota // the next rule is tried
	refuseMessage                    // the message is refused
	useFallback                      // a literal replaces the one output
)

// compiledRule is a rule that is ready to run.
type compiledRule struct {
	Rule
	when       *expression
	outputs    [outputCount]*expression // nil for what the rule does not decide
	onError    errorPolicy
	fallback   ref.Val       // of useFallback
	bound      time.Duration // of all its expressions
	errorCount atomic.Int64
}

// deployment is what a set has to fit.
type deployment match.Deployment

// compileWithin compiles a rule that has to keep within a budget by itself. The error does not name the rule yet.
func (d deployment) compileWithin(written Rule, budget time.Duration) (*compiledRule, *RuleError) {
	compiled, err := d.compileRule(written)
	if err != nil {
		return nil, err
	}
	if compiled.bound <= budget {
		return compiled, nil
	}
	field := "when"
	for i, output := range compiled.outputs { // name an expensive output
		if output != nil && output.maxCost > compiled.when.maxCost {
			field = outputNames[i]
		}
	}
	reason := fmt.Sprintf("the rule may take %s by itself, the budget is %s", compiled.bound, budget)
	return nil, fieldError(field, newExpressionError(reason))
}

// fieldError is the error of one field of a rule.
func fieldError(field string, err *ExpressionError) *RuleError {
	return &RuleError{Field: field, ExpressionError: *err}
}

// compileRule compiles and checks one rule. The error does not name the rule yet.
func (d deployment) compileRule(written Rule) (*compiledRule, *RuleError) {
	r := &compiledRule{Rule: written}
	var err *ExpressionError
	if r.when, err = compileExpression(written.When, cel.BoolType); err != nil {
		return nil, fieldError("when", err)
	}
	r.bound = r.when.timeBound()
	decided := 0
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
		decided++
	}
	if decided == 0 {
		return nil, fieldError("when", newExpressionError(
			"the rule decides nothing: workload, key, customer or cost is wanted"))
	}
	if err := d.checkConstants(r); err != nil {
		return nil, err
	}
	if err := d.compileOtherwise(r, decided); err != nil {
		return nil, fieldError("otherwise", err)
	}
	return r, nil
}

// compileOtherwise reads what follows an error of a rule that decides some outputs.
func (d deployment) compileOtherwise(r *compiledRule, decided int) *ExpressionError {
	switch text := strings.TrimSpace(r.Otherwise); {
	case text == "" || text == "next":
		return nil
	case text == "refuse":
		r.onError = refuseMessage
		return nil
	case decided != 1:
		return newExpressionError("a value can stand in only where the rule decides one matter; else next or refuse")
	default:
		return d.compileFallback(r, text)
	}
}

// compileFallback reads the value that replaces a rule's one output.
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

// checkConstants refuses what the rule alone shows to be wrong: a value that never fits, and a workload that is more
// repeatable than everything that the condition lets through.
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
	becomes := match.RepeatableBy(d.Effects[workload])
	for _, test := range indexTests(r.when.ast.NativeRep().Expr()) {
		if sent := d.mostRepeatable(test); becomes > sent {
			return fieldError("workload", newExpressionError(fmt.Sprintf(
				"what the condition lets through is %s as it is sent; %s is %s", sent, workload, becomes)))
		}
	}
	return nil
}

// mostRepeatable is the most repeatable message that can pass a test.
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

// repeatableIfEqual is the most repeatable message that has a text as an attribute.
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

// repeatableByPath is how repeatable the protocol makes messages to a path or, if it is not the whole path, to paths
// that begin with it.
func (d deployment) repeatableByPath(path string, whole bool) match.Repeatable {
	workload, _, more := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if effect := d.Effects[workload]; effect != "" && (more || whole) {
		return match.RepeatableBy(effect)
	}
	return match.Pure
}

// Errors of values that cannot be a key.
var (
	errEmpty        = errors.New("it is empty")
	errTooLong      = fmt.Errorf("it is longer than %d bytes", MaxKeyLength)
	errNotPlainText = errors.New("it is no plain text")
)

// assign puts the value of an output into a judgement, or says why it does not fit.
func (d deployment) assign(output outputField, value ref.Val, j *match.Judgement) error {
	if output == outputCost {
		j.Cost = value.(types.Duration).Duration
		if j.Cost <= 0 || j.Cost > time.Hour {
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
