// Package rules evaluates the operator's matching rules, which assign a workload, a key, a customer and a cost to a
// message by expressions.
//
// Expressions are written in CEL. Each is checked and compiled once, when it is loaded. Its cost is bounded at that
// time, and rules that could stall an agent are rejected. The package performs no input or output, reads no clock and
// does not depend on a protocol: it judges a match.Subject.
package rules

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"

	"sagelever/match"
)

// Rule is a rule as the operator writes it. When is an expression of type bool. The four outputs (Workload, Key,
// Customer and Cost) are expressions as well; an empty output is left to the protocol.
type Rule struct {
	Name      string
	When      string
	Workload  string
	Key       string
	Customer  string
	Cost      string
	Otherwise string // on an error: next (the default), refuse, or a literal that replaces the only output
}

// DefaultBudget is the maximum time for judging one message unless the operator configures another.
const DefaultBudget = 50 * time.Microsecond

// MaxRules is the maximum number of rules in a set. Compiling that many takes some seconds.
const MaxRules = 10000

// RuleError reports an invalid field of a rule.
type RuleError struct {
	Rule  int // index of the rule, from 0
	Name  string
	Field string // when, workload, key, customer, cost or otherwise
	ExpressionError
}

// Error implements error.
func (e *RuleError) Error() string {
	return fmt.Sprintf("rule %s, %s %s", e.Name, e.Field, e.ExpressionError.Error())
}

// BudgetError reports that one message can require rules that together exceed the budget, although each rule by itself
// is within it.
type BudgetError struct {
	Bound  time.Duration
	Budget time.Duration
	Rules  []string // rules that one message can require together, the most expensive first
}

// maxReportedRules is the number of rules that the text of a BudgetError names.
const maxReportedRules = 5

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("one message may take %s, the budget is %s; the most expensive rules that it can need together: %s",
		e.Bound, e.Budget, strings.Join(e.Rules[:min(len(e.Rules), maxReportedRules)], ", "))
}

// Set is an ordered set of compiled rules. It is immutable and safe for concurrent use.
type Set struct {
	deployment deployment
	rules      []*compiledRule
	index      *index
	bound      time.Duration
}

// Compile validates and compiles rules, given in the order in which they are evaluated. The error is a *RuleError, a
// *BudgetError, or the error of more than MaxRules rules. If budget is 0, DefaultBudget applies.
func Compile(rules []Rule, d match.Deployment, budget time.Duration) (*Set, error) {
	if len(rules) > MaxRules {
		return nil, fmt.Errorf("%d rules, at most %d are taken", len(rules), MaxRules)
	}
	if budget <= 0 {
		budget = DefaultBudget
	}
	set := &Set{deployment: deployment(d)}
	var costs []time.Duration
	var testsByRule [][]indexTest
	for i, written := range rules {
		compiled, err := set.deployment.compileWithin(written, budget)
		if err != nil {
			err.Rule, err.Name = i, written.Name
			return nil, err
		}
		set.rules = append(set.rules, compiled)
		costs = append(costs, compiled.bound)
		testsByRule = append(testsByRule, indexTests(compiled.when.ast.NativeRep().Expr()))
	}
	set.index = newIndex(testsByRule)
	var expensive []int
	set.bound, expensive = set.index.worstCase(costs)
	if set.bound > budget {
		return nil, set.budgetError(budget, expensive, costs)
	}
	return set, nil
}

// budgetError returns the error of rules that one message can require together. It lists the most expensive rules
// first.
func (s *Set) budgetError(budget time.Duration, expensive []int, costs []time.Duration) *BudgetError {
	slices.SortStableFunc(expensive, func(a, b int) int { return int(costs[b] - costs[a]) })
	err := &BudgetError{Bound: s.bound, Budget: budget}
	for _, i := range expensive {
		err.Rules = append(err.Rules, fmt.Sprintf("%s (%s)", s.rules[i].Name, costs[i]))
	}
	return err
}

// Step is the evaluation of one rule for a message.
type Step struct {
	Rule    string
	Matched bool
	Err     error // error of one of the rule's expressions; can be set even if the rule matched
}

// Judge returns the result of the first rule that matches a message. It takes at most Bound.
func (s *Set) Judge(subject match.Subject) match.Judgement {
	return s.run(subject, s.index.markCandidates, nil)
}

// Explain judges a message and returns the rules that were evaluated for it, in order.
func (s *Set) Explain(subject match.Subject) (j match.Judgement, steps []Step) {
	j = s.run(subject, s.index.markCandidates, func(step Step) { steps = append(steps, step) })
	return j, steps
}

// smallSetWords is the size in words of the largest bit set of rules that is kept on the stack, for sets of up to 256
// rules.
const smallSetWords = 4

// run evaluates the rules that the mark function selects, in order, until one matches.
func (s *Set) run(subject match.Subject, mark func(*activationView, []uint64), record func(Step)) match.Judgement {
	v := &activationView{subject: subject}
	var small [smallSetWords]uint64
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

// tryRule evaluates one rule. A fallback value does not apply to an error of the condition, because it is then unknown
// whether the rule matches.
func (s *Set) tryRule(r *compiledRule, v *activationView) (j match.Judgement, matched bool, err error) {
	holds, err := r.when.eval(v)
	if err != nil && r.onError != refuseMessage || err == nil && holds != types.True {
		return j, false, err
	}
	j.Rule = r.Name
	for field, output := range r.outputs {
		if output == nil || err != nil {
			continue
		}
		var value ref.Val
		if value, err = output.eval(v); err == nil {
			err = s.deployment.assign(outputField(field), value, &j)
		}
		if err != nil && r.onError == useFallback {
			_ = s.deployment.assign(outputField(field), r.fallback, &j) // compileFallback has validated the value
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

// checkRepeatable rejects a message if the rule's workload is more repeatable than the message that the client sent,
// because a side effect could then be executed twice.
func (s *Set) checkRepeatable(j match.Judgement, v *activationView) match.Judgement {
	if j.Workload == "" {
		return j
	}
	required := match.RepeatableBy(s.deployment.Effects[j.Workload])
	if sent := v.subject.Sent(); required > sent {
		reason := fmt.Errorf("rule %s makes %s (%s) of what was sent as %s", j.Rule, j.Workload, required, sent)
		return match.Judgement{Rule: j.Rule, Refused: reason}
	}
	return j
}

// Bound returns the maximum time for judging one message, by the cost model.
func (s *Set) Bound() time.Duration { return s.bound }

// RuleState describes one rule of a set.
type RuleState struct {
	Name      string
	Bound     time.Duration // on the time of this rule alone
	Outputs   string        // the outputs that the rule sets, with their types
	IndexedBy string        // the attribute by which the index finds the rule, or "" if the rule is always evaluated
	Errors    int64         // number of evaluations that failed
}

// Rules returns the state of each rule, in order.
func (s *Set) Rules() []RuleState {
	list := make([]RuleState, len(s.rules))
	for i, r := range s.rules {
		var outputTypes []string
		for field, output := range r.outputs {
			if output != nil {
				outputTypes = append(outputTypes, outputNames[field]+" "+output.ast.OutputType().String())
			}
		}
		list[i] = RuleState{Name: r.Name, Bound: r.bound, Outputs: strings.Join(outputTypes, ", "),
			Errors: r.errorCount.Load()}
	}
	for _, c := range s.index.columns {
		for _, i := range c.rules {
			list[i].IndexedBy = c.attribute.String()
		}
	}
	return list
}
