package retry

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// docs/answers.md must contain the rule table exactly as markdownTable generates it.
func TestDocsShowRuleTable(t *testing.T) {
	docs, err := os.ReadFile("../../../docs/answers.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := markdownTable(); !strings.Contains(string(docs), "\n"+table+"\n") {
		t.Errorf("docs/answers.md does not contain the current rule table:\n%s", table)
	}
}

// markdownTable returns the rules as a Markdown table. Events of a phase that have the same rule share a row.
func markdownTable() string {
	var b strings.Builder
	b.WriteString("| phase | event | send | execution | client gets | retry | connection |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, phase := range AllPhases() {
		for _, events := range eventsByRule(phase) {
			rule := Decide(phase, events[0])
			fmt.Fprintf(&b, "| %v | %s | %v | %v | %v | %v | %v |\n", phase, joinEvents(events),
				rule.Continuation, rule.Execution, rule.Response, rule.Retry, rule.Connection)
		}
	}
	return b.String()
}

// eventsByRule groups the possible events of a phase by their rule, in the order of the first event of each group.
func eventsByRule(phase Phase) (groups [][]Event) {
	groupOf := map[Rule]int{}
	for _, event := range AllEvents() {
		rule := Decide(phase, event)
		if !rule.Possible {
			continue
		}
		group, known := groupOf[rule]
		if !known {
			group = len(groups)
			groupOf[rule] = group
			groups = append(groups, nil)
		}
		groups[group] = append(groups[group], event)
	}
	return groups
}

func joinEvents(events []Event) string {
	names := make([]string, len(events))
	for i, event := range events {
		names[i] = event.String()
	}
	return strings.Join(names, ", ")
}
