// Package rules lets operators say by expressions which workload a message belongs to, what its key and customer are,
// and what it costs. Expressions are CEL. Each is typed and compiled once, its cost is bounded before it ever runs, and
// what could stall an agent is refused when it is loaded. The package is free of I/O and clock, and knows no protocol:
// it judges a match.Subject.
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

// Rule is a rule as it is written. When is an expression that gives a bool; the four outputs are expressions too, an
// empty one says nothing of its matter.
type Rule struct {
	Name      string
	When      string
	Workload  string
	Key       string
	Customer  string
	Cost      string
	Otherwise string // what follows an error: next (also if empty), refuse, or a literal that stands in for the one output
}

// DefaultBudget is the most time that judging one message may take, where the operator names no other.
const DefaultBudget = 50 * time.Microsecond

// MostRules is how many rules a set may have: compiling as many takes some seconds.
const MostRules = 10000

// RuleError is what is wrong with a rule, and in which of its fields.
type RuleError struct {
	Rule  int // its number, from 0 on
	Name  string
	Field string // when, workload, key, customer, cost or otherwise
	ExpressionError
}

func (f *RuleError) Error() string {
	return fmt.Sprintf("rule %s, %s %s", f.Name, f.Field, f.ExpressionError.Error())
}

// BudgetError is a set whose rules keep within the budget each, but not all those that one message may have to run through.
type BudgetError struct {
	Bound, Budget time.Duration
	Rules         []string // the dearest set that one message can need, the dearest first
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("one message may take %s, the budget is %s; the dearest rules that it can need together: %s",
		e.Bound, e.Budget, strings.Join(e.Rules[:min(len(e.Rules), 5)], ", "))
}

// outputField is one of the four matters that a rule can decide.
type outputField int

const (
	outputWorkload outputField = iota
	outputKey
	outputCustomer
	outputCost
	outputCount
)

var outputNames = [outputCount]string{"workload", "key", "customer", "cost"}

// errorPolicy is what follows an error of a rule.
type errorPolicy int

const (
	tryNext       errorPolicy = iota // the next rule is tried
	refuseMessage                    // the message is refused
	useFallback                      // a literal stands in for the one output
)

type compiledRule struct {
	Rule
	when       *expression
	outputs    [outputCount]*expression
	onError    errorPolicy
	fallback   ref.Val
	bound      time.Duration
	errorCount atomic.Int64 // errors so far
}

// deployment is what a set has to fit.
type deployment match.Deployment

// Set is rules that have been compiled together. It does not change, and may be used by many at once.
type Set struct {
	deployment deployment
	rules      []*compiledRule
	index      *index
	bound      time.Duration
}

// Compile checks rules, in the order in which they are tried, and makes a set of them. Errors are a *RuleError or a
// *BudgetError.
func Compile(rules []Rule, d match.Deployment, budget time.Duration) (*Set, error) {
	if len(rules) > MostRules {
		return nil, fmt.Errorf("%d rules, at most %d are taken", len(rules), MostRules)
	}
	if budget <= 0 {
		budget = DefaultBudget
	}
	set := &Set{deployment: deployment(d)}
	var costs []time.Duration
	var testsByRule [][]indexTest
	for i, written := range rules {
		compiled, field, fault := set.deployment.compileRule(written)
		if fault == nil && compiled.bound > budget {
			field, fault = "when", &ExpressionError{1, 1, fmt.Sprintf("the rule may take %s by itself, the budget is %s", compiled.bound, budget)}
			for o, f := range compiled.outputs { // name the dearest part
				if f != nil && f.maxCost > compiled.when.maxCost {
					field = outputNames[o]
				}
			}
		}
		if fault != nil {
			return nil, &RuleError{i, written.Name, field, *fault}
		}
		set.rules = append(set.rules, compiled)
		costs = append(costs, compiled.bound)
		testsByRule = append(testsByRule, indexTests(compiled.when.ast.NativeRep().Expr()))
	}
	set.index = newIndex(testsByRule)
	var expensive []int
	if set.bound, expensive = set.index.worstCase(costs); set.bound > budget {
		slices.SortStableFunc(expensive, func(a, b int) int { return int(costs[b] - costs[a]) })
		tooExpensive := &BudgetError{Bound: set.bound, Budget: budget}
		for _, i := range expensive {
			tooExpensive.Rules = append(tooExpensive.Rules, fmt.Sprintf("%s (%s)", set.rules[i].Name, costs[i]))
		}
		return nil, tooExpensive
	}
	return set, nil
}

// compileRule checks one rule.
func (d deployment) compileRule(written Rule) (r *compiledRule, field string, fault *ExpressionError) {
	r = &compiledRule{Rule: written}
	if r.when, fault = compileExpression(written.When, cel.BoolType); fault != nil {
		return nil, "when", fault
	}
	r.bound = r.when.timeBound()
	decides := 0
	for o, text := range []string{written.Workload, written.Key, written.Customer, written.Cost} {
		if text == "" {
			continue
		}
		wants := cel.StringType
		if outputField(o) == outputCost {
			wants = cel.DurationType
		}
		if r.outputs[o], fault = compileExpression(text, wants); fault != nil {
			return nil, outputNames[o], fault
		}
		r.bound += r.outputs[o].timeBound()
		decides++
	}
	if decides == 0 {
		return nil, "when", &ExpressionError{1, 1, "the rule decides nothing: workload, key, customer or cost is wanted"}
	}
	if field, fault = d.checkConstants(r); fault != nil {
		return nil, field, fault
	}
	switch text := strings.TrimSpace(written.Otherwise); {
	case text == "" || text == "next":
	case text == "refuse":
		r.onError = refuseMessage
	case decides != 1:
		return nil, "otherwise", &ExpressionError{1, 1, "a value can stand in only where the rule decides one matter; else next or refuse"}
	default:
		if fault := d.compileFallback(r, text); fault != nil {
			return nil, "otherwise", fault
		}
	}
	return r, "", nil
}

// compileFallback reads the value that stands in for a rule's one output.
func (d deployment) compileFallback(r *compiledRule, text string) *ExpressionError {
	for o, f := range r.outputs {
		if f == nil {
			continue
		}
		value, fault := compileExpression(text, f.ast.OutputType())
		if fault != nil {
			return fault
		}
		if r.fallback = value.constantValue(); r.fallback == nil {
			return &ExpressionError{1, 1, "it must be a value, not a computation"}
		}
		if err := d.assign(outputField(o), r.fallback, &match.Judgement{}); err != nil {
			return &ExpressionError{1, 1, err.Error()}
		}
		r.onError = useFallback
	}
	return nil
}

// checkConstants refuses what the file alone shows to be wrong: a value that never fits, and a workload that is more repeatable
// than all that the condition lets through.
func (d deployment) checkConstants(r *compiledRule) (field string, fault *ExpressionError) {
	var always match.Judgement
	for o, f := range r.outputs {
		if f == nil {
			continue
		}
		value := f.constantValue()
		if value == nil {
			continue
		}
		if err := d.assign(outputField(o), value, &always); err != nil {
			return outputNames[o], &ExpressionError{1, 1, err.Error()}
		}
	}
	name := always.Workload
	if name == "" {
		return "", nil
	}
	becomes := match.RepeatableBy(d.Effects[name])
	for _, t := range indexTests(r.when.ast.NativeRep().Expr()) {
		sent := d.mostRepeatable(t)
		if becomes > sent {
			return "workload", &ExpressionError{1, 1, fmt.Sprintf("what the condition lets through is %s as it is sent; %s is %s", sent, name, becomes)}
		}
	}
	return "", nil
}

// mostRepeatable is the most repeatable thing that can pass a test.
func (d deployment) mostRepeatable(t indexTest) match.Repeatable {
	most := match.Effectful
	for _, text := range t.equals {
		sent := match.Pure
		switch {
		case t.attribute.source == "method" && text != "GET" && text != "HEAD":
			sent = match.Receipted
		case t.attribute.source == "segments" && t.attribute.segment == 0 && d.Effects[text] != "":
			sent = match.RepeatableBy(d.Effects[text])
		case t.attribute.source == "path":
			sent = d.repeatableByPath(text, true)
		}
		most = max(most, sent)
	}
	for _, text := range t.prefixes {
		sent := match.Pure
		if t.attribute.source == "path" {
			sent = d.repeatableByPath(text, false)
		}
		most = max(most, sent)
	}
	return most
}

// repeatableByPath is how repeatable the wire's own words make what is sent to a path, or to paths that begin with a text.
func (d deployment) repeatableByPath(path string, whole bool) match.Repeatable {
	name, _, more := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if effect := d.Effects[name]; effect != "" && (more || whole) {
		return match.RepeatableBy(effect)
	}
	return match.Pure
}

var errEmpty, errTooLong, errNotPlainText = errors.New("it is empty"), fmt.Errorf("it is longer than %d bytes", MostKey), errors.New("it is no plain text")

// assign puts a value into a judgement, or says why it cannot be one.
func (d deployment) assign(o outputField, value ref.Val, j *match.Judgement) error {
	if o == outputCost {
		if j.Cost = value.(types.Duration).Duration; j.Cost <= 0 || j.Cost > time.Hour {
			return fmt.Errorf("a cost of %s, where more than 0 and at most 1h is wanted", j.Cost)
		}
		return nil
	}
	text := string(value.(types.String))
	switch o {
	case outputWorkload:
		if j.Workload = text; d.Effects[text] == "" {
			return fmt.Errorf("no such workload: %.40q", text)
		}
	case outputCustomer:
		if j.Customer = text; !slices.Contains(d.Customers, text) {
			return fmt.Errorf("no such customer: %.40q", text)
		}
	case outputKey:
		switch j.Key = text; {
		case text == "":
			return errEmpty
		case len(text) > MostKey:
			return errTooLong
		case !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl):
			return errNotPlainText
		}
	}
	return nil
}

// Step is one rule that was tried for a message, as Explain tells it.
type Step struct {
	Rule    string
	Matched bool
	Err     error
}

// Judge gives what the first rule that matches says of a message. Its time is bounded by Bound.
func (s *Set) Judge(subject match.Subject) match.Judgement {
	return s.run(subject, s.index.markCandidates, nil)
}

// Explain judges a message and tells which rules were run for it.
func (s *Set) Explain(subject match.Subject) (j match.Judgement, steps []Step) {
	j = s.run(subject, s.index.markCandidates, func(x Step) { steps = append(steps, x) })
	return j, steps
}

// run runs the rules that are marked, in order.
func (s *Set) run(subject match.Subject, mark func(*activationView, []uint64), record func(Step)) match.Judgement {
	v := &activationView{subject: subject}
	var small [4]uint64 // on the stack, for sets of up to 256 rules
	marks := small[:]
	if len(s.index.always) > len(small) {
		marks = make([]uint64, len(s.index.always))
	}
	marks = marks[:len(s.index.always)]
	mark(v, marks)
	var verdict match.Judgement
	var trouble error
	for i := nextMarked(marks, 0); i >= 0; i = nextMarked(marks, i+1) {
		r := s.rules[i]
		j, matched, err := s.tryRule(r, v)
		if record != nil {
			record(Step{r.Name, matched, err})
		}
		if err != nil {
			r.errorCount.Add(1)
			if trouble == nil {
				trouble = fmt.Errorf("rule %s: %w", r.Name, err)
			}
		}
		if matched {
			verdict = j
			break
		}
	}
	if v.tooLarge != "" {
		verdict = match.Judgement{Refused: errors.New(v.tooLarge)}
	}
	verdict.Trouble = trouble
	return verdict
}

// tryRule runs one rule. An error of a condition means that it is not known whether the rule is meant; a value can then
// not stand in.
func (s *Set) tryRule(r *compiledRule, v *activationView) (j match.Judgement, matched bool, err error) {
	holds, err := r.when.eval(v)
	if err != nil && r.onError != refuseMessage || err == nil && holds != types.True {
		return j, false, err
	}
	j.Rule = r.Name
	for o, f := range r.outputs {
		if f == nil || err != nil {
			continue
		}
		var value ref.Val
		if value, err = f.eval(v); err == nil {
			err = s.deployment.assign(outputField(o), value, &j)
		}
		if err != nil && r.onError == useFallback {
			s.deployment.assign(outputField(o), r.fallback, &j)
			return s.checkRepeatable(j, v), true, err
		}
	}
	switch {
	case err == nil:
		return s.checkRepeatable(j, v), true, nil
	case r.onError == refuseMessage:
		return match.Judgement{Rule: r.Name, Refused: fmt.Errorf("rule %s: %w", r.Name, err)}, true, err
	}
	return match.Judgement{}, false, err
}

// checkRepeatable keeps a rule from making more repeatable what a client sent as less: an effect could then run twice.
func (s *Set) checkRepeatable(j match.Judgement, v *activationView) match.Judgement {
	if j.Workload == "" {
		return j
	}
	if becomes, sent := match.RepeatableBy(s.deployment.Effects[j.Workload]), v.subject.Sent(); becomes > sent {
		return match.Judgement{Rule: j.Rule, Refused: fmt.Errorf("rule %s makes %s (%s) of what was sent as %s", j.Rule, j.Workload, becomes, sent)}
	}
	return j
}

// Bound is the longest that judging one message can take, by the constants of the cost model.
func (s *Set) Bound() time.Duration { return s.bound }

// RuleState is what is known of one rule of a set.
type RuleState struct {
	Name      string
	Bound     time.Duration // by itself
	Outputs   string        // what it decides
	IndexedBy string        // by which attribute the index finds it, "" if it is always run
	Errors    int64
}

// Rules tells the state of each rule, in order.
func (s *Set) Rules() []RuleState {
	list := make([]RuleState, len(s.rules))
	for i, r := range s.rules {
		var decides []string
		for o, f := range r.outputs {
			if f != nil {
				decides = append(decides, outputNames[o]+" "+f.ast.OutputType().String())
			}
		}
		list[i] = RuleState{Name: r.Name, Bound: r.bound, Outputs: strings.Join(decides, ", "), Errors: r.errorCount.Load()}
	}
	for _, c := range s.index.columns {
		for _, i := range c.rules {
			list[i].IndexedBy = c.attribute.String()
		}
	}
	return list
}

func (a attribute) String() string {
	switch a.source {
	case "method", "path", "peer":
		return a.source
	case "segments":
		return fmt.Sprintf("segments[%d]", a.segment)
	}
	return fmt.Sprintf("%s[%q]", a.source, a.name)
}

// emptySubject is a subject that has nothing, for values that ask for nothing.
type emptySubject struct{}

func (emptySubject) Text(string) string       { return "" }
func (emptySubject) Segments() []string       { return nil }
func (emptySubject) Table(string) match.Table { return match.Table{} }
func (emptySubject) Size() int64              { return 0 }
func (emptySubject) Hint() time.Duration      { return 0 }
func (emptySubject) Sent() match.Repeatable   { return match.Effectful }
