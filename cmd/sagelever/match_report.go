//go:build !lean

package main

import (
	"fmt"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"sagelever/match"
	"sagelever/match/rules"
)

// checkReport is the output of "match check".
type checkReport struct {
	MaxTime time.Duration     `json:"bound_ns"` // upper bound for one message
	Rules   []rules.RuleState `json:"rules"`
}

func newCheckReport(set *rules.Set) checkReport { return checkReport{set.Bound(), set.Rules()} }

// String returns a table of the rules.
func (r checkReport) String() string {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RULE\tDECIDES\tFOUND BY\tAT MOST")
	for _, rule := range r.Rules {
		foundBy := rule.IndexedBy
		if foundBy == "" {
			foundBy = "always run"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", rule.Name, rule.Outputs, foundBy, rule.Bound)
	}
	_ = table.Flush() // writing to a strings.Builder does not fail
	fmt.Fprintf(&text, "%d rules; one message takes %s at most\n", len(r.Rules), r.MaxTime)
	return text.String()
}

// explanation is the output of "match explain": the evaluation of the rules for one message.
type explanation struct {
	Evaluated []evaluation  `json:"tried"`
	Rule      string        `json:"rule,omitempty"`
	Workload  string        `json:"workload,omitempty"`
	Key       string        `json:"key,omitempty"`
	Customer  string        `json:"customer,omitempty"`
	Cost      time.Duration `json:"cost_ns,omitempty"`
	Rejected  string        `json:"refused,omitempty"` // reason if the message is refused
	MaxTime   time.Duration `json:"bound_ns"`
	Elapsed   time.Duration `json:"took_ns"`
}

// evaluation is the result of one rule's condition.
type evaluation struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"matched"`
	Error   string `json:"error,omitempty"`
}

func newEvaluation(step rules.Step) evaluation {
	result := evaluation{Rule: step.Rule, Matched: step.Matched}
	if step.Err != nil {
		result.Error = step.Err.Error()
	}
	return result
}

// explain evaluates the rules for a message, and times a second evaluation, which has warm caches like that of a
// running agent.
func explain(set *rules.Set, subject match.Subject) explanation {
	judgement, steps := set.Explain(subject)
	start := time.Now()
	set.Judge(subject)
	elapsed := time.Since(start)
	result := explanation{
		Evaluated: []evaluation{},
		Rule:      judgement.Rule,
		Workload:  judgement.Workload,
		Key:       judgement.Key,
		Customer:  judgement.Customer,
		Cost:      judgement.Cost,
		MaxTime:   set.Bound(),
		Elapsed:   elapsed,
	}
	if judgement.Refused != nil {
		result.Rejected = judgement.Refused.Error()
	}
	for _, step := range steps {
		result.Evaluated = append(result.Evaluated, newEvaluation(step))
	}
	return result
}

// String returns a line for each evaluated rule and each value that was set.
func (e explanation) String() string {
	var text strings.Builder
	for _, evaluated := range e.Evaluated {
		outcome := "does not match"
		if evaluated.Matched {
			outcome = "matches"
		}
		if evaluated.Error != "" {
			outcome += ": " + evaluated.Error
		}
		fmt.Fprintf(&text, "%s %s\n", evaluated.Rule, outcome)
	}
	switch {
	case e.Rejected != "":
		fmt.Fprintf(&text, "refused: %s\n", e.Rejected)
	case e.Rule == "":
		fmt.Fprintln(&text, "no rule matches: the protocol's own fields apply")
	}
	for _, output := range []struct{ name, value string }{
		{"workload", e.Workload},
		{"key", e.Key},
		{"customer", e.Customer},
	} {
		if output.value != "" {
			fmt.Fprintf(&text, "%s = %q\n", output.name, output.value)
		}
	}
	if e.Cost > 0 {
		fmt.Fprintf(&text, "cost = %s\n", e.Cost)
	}
	fmt.Fprintf(&text, "%d rules run in %s, at most %s\n", len(e.Evaluated), e.Elapsed, e.MaxTime)
	return text.String()
}

// benchmarkReport is the output of "match bench".
type benchmarkReport struct {
	MaxTime   time.Duration `json:"bound_ns"`
	WorstCase time.Duration `json:"dearest_ns"` // mean time of the most expensive message according to the cost model
	Bytes     uint64        `json:"bytes"`      // allocated for each message
}

// String returns one line.
func (r benchmarkReport) String() string {
	return fmt.Sprintf("the most expensive message takes %s and %d bytes here; bound %s\n",
		r.WorstCase, r.Bytes, r.MaxTime)
}

// benchmarkTime is the duration of a benchmark, enough for some thousands of messages.
const benchmarkTime = 100 * time.Millisecond

// benchmark measures how long the rules take for the most expensive message.
func benchmark(set *rules.Set) benchmarkReport {
	subject := set.WorstCaseSubject()
	set.Judge(subject) // fills caches
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	count := 0
	for time.Since(start) < benchmarkTime {
		set.Judge(subject)
		count++
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return benchmarkReport{
		MaxTime:   set.Bound(),
		WorstCase: elapsed / time.Duration(count),
		Bytes:     (after.TotalAlloc - before.TotalAlloc) / uint64(count),
	}
}
