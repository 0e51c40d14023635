// Package rules lets operators say by expressions which workload a message belongs to, what its key and customer are,
// and what it costs.
//
// Expressions are in CEL. Each is checked and compiled once, its cost is bounded before it ever runs, and what could
// stall an agent is refused when it is loaded. The package does no input or output, reads no clock and knows no
// protocol: it judges a match.Subject.
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

// Rule is a rule as the operator writes it. When is an expression that gives a bool. The four outputs are expressions,
// too; an empty one leaves its matter to the protocol.
type Rule struct {
	Name      string
	When      string
	Workload  string
	Key       string
	Customer  string
	Cost      string
	Otherwise string // what follows an error: next (also if empty), refuse, or a literal that replaces the one output
}

// DefaultBudget is how long judging one message may take if the operator names no other budget.
const DefaultBudget = 50 * time.Microsecond

// MaxRules is how many rules a set may have. Compiling as many takes some seconds.
const MaxRules = 10000

// RuleError says what is wrong with a rule, and in which of its fields.
type RuleError struct {
	Rule  int // its number, from 0 on
	Name  string
	Field string // when, workload, key, customer, cost or otherwise
	ExpressionError
}

func (f *RuleError) Error() string {
	return fmt.Sprintf("rule %s, %s %s", f.Name, f.Field, f.ExpressionError.Error())
}

// BudgetError is the error of rules that keep within the budget each, but not all those together that one message may
// need.
type BudgetError struct {
	Bound  time.Duration
	Budget time.Duration
	Rules  []string // that one message may need together, the most expensive first
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("one message may take %s, the budget is %s; the most expensive rules that it can need together: %s",
		e.Bound, e.Budget, strings.Join(e.Rules[:min(len(e.Rules), 5)], ", "))
}

// Set is rules that have been compiled together. It does not change, and may be used by several goroutines at once.
type Set struct {
	deployment deployment
	rules      []*compiledRule
	index      *index
	bound      time.Duration
}

// Compile checks rules, in the order in which they are tried, and makes a set of them. Its errors are a *RuleError or a
// *BudgetError, or say that there are too many rules. A budget of 0 is DefaultBudget.
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

// budgetError names the rules that one message may need together, the most expensive first.
func (s *Set) budgetError(budget time.Duration, expensive []int, costs []time.Duration) *BudgetError {
	slices.SortStableFunc(expensive, func(a, b int) int { return int(costs[b] - costs[a]) })
	err := &BudgetError{Bound: s.bound, Budget: budget}
	for _, i := range expensive {
		err.Rules = append(err.Rules, fmt.Sprintf("%s (%s)", s.rules[i].Name, costs[i]))
	}
	return err
}

// Step is one rule that was run for a message.
type Step struct {
	Rule    string
	Matched bool
	Err     error // of one of its expressions, also if it matched
}

// Judge returns what the first rule that matches says of a message. It takes no longer than Bound.
func (s *Set) Judge(subject match.Subject) match.Judgement {
	return s.run(subject, s.index.markCandidates, nil)
}

// Explain judges a message and tells which rules were run for it, in order.
func (s *Set) Explain(subject match.Subject) (j match.Judgement, steps []Step) {
	j = s.run(subject, s.index.markCandidates, func(x Step) { steps = append(steps, x) })
	return j, steps
}

// run runs the rules that mark marks, in order, until one matches.
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

// tryRule runs one rule. If the condition has an error it is not known whether the rule is meant, so that a fallback
// does not apply.
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
			_ = s.deployment.assign(outputField(o), r.fallback, &j) // compileFallback has checked that it fits
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

// checkRepeatable refuses a workload that is more repeatable than what the client has sent: an effect could then run
// twice.
func (s *Set) checkRepeatable(j match.Judgement, v *activationView) match.Judgement {
	if j.Workload == "" {
		return j
	}
	becomes := match.RepeatableBy(s.deployment.Effects[j.Workload])
	if sent := v.subject.Sent(); becomes > sent {
		reason := fmt.Errorf("rule %s makes %s (%s) of what was sent as %s", j.Rule, j.Workload, becomes, sent)
		return match.Judgement{Rule: j.Rule, Refused: reason}
	}
	return j
}

// Bound is the longest that judging one message can take, by the cost model.
func (s *Set) Bound() time.Duration { return s.bound }

// RuleState is what is known of one rule of a set.
type RuleState struct {
	Name      string
	Bound     time.Duration // of the rule alone
	Outputs   string        // what it decides, with the types
	IndexedBy string        // the attribute by which the index finds it, "" if it is always run
	Errors    int64         // so far
}

// Rules returns the state of each rule, in order.
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
