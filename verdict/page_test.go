package verdict

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// The page of the docs shows the table by which relays decide, word for word.
func TestPageShowsTheTable(t *testing.T) {
	docs, err := os.ReadFile("../docs/answers.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(docs), "\n"+page()+"\n") {
		t.Errorf("docs/answers.md lacks the table as it stands:\n%s", page())
	}
}

// page writes the table as a page of the docs has it: for each phase the events that share a rule in one row.
func page() string {
	var b strings.Builder
	b.WriteString("| phase | event | the send | may it have run | the caller gets | may it be sent again | the connection is |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range Phases() {
		for _, group := range groups(p) {
			r := Decide(p, group[0])
			fmt.Fprintf(&b, "| %v | %s | %v | %v | %v | %v | %v |\n", p, names(group), r.Course, r.Run, r.Caller, r.Again, r.Connection)
		}
	}
	return b.String()
}

// groups puts the possible events of a phase that share a rule together, in the order of the first of each.
func groups(p Phase) (list [][]Event) {
	at := map[Rule]int{}
	for _, e := range Events() {
		r := Decide(p, e)
		if !r.Possible {
			continue
		}
		i, known := at[r]
		if !known {
			i, at[r] = len(list), len(list)
			list = append(list, nil)
		}
		list[i] = append(list[i], e)
	}
	return list
}

func names(group []Event) string {
	all := make([]string, len(group))
	for i, e := range group {
		all[i] = e.String()
	}
	return strings.Join(all, ", ")
}
