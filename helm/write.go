package helm

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sagelever/ebb"
)

// Write writes drains as a table for people: under each what stands in its way.
func Write(w io.Writer, drains []ebb.Progress) {
	if len(drains) == 0 {
		fmt.Fprintln(w, "nothing is drained")
		return
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TARGET\tSTATE\tFOR\tAPPLIANCES\tHARMLESS\tRISKY")
	for _, p := range drains {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\n", p.Target, state(p), (time.Duration(p.ForMs) * time.Millisecond).Round(100*time.Millisecond), len(p.Backends), p.Harmless, p.Risky)
	}
	t.Flush()
	for _, p := range drains {
		for _, line := range Obstacles(p) {
			fmt.Fprintf(w, "  %s: %s\n", p.Target, line)
		}
	}
}

func state(p ebb.Progress) string {
	if p.Done {
		return "done"
	}
	return "under way"
}

// Obstacles say what a drain waits for, by node.
func Obstacles(p ebb.Progress) (out []string) {
	for _, n := range p.Nodes {
		var parts []string
		if n.Sends {
			parts = append(parts, "has not heard of it yet")
		}
		if n.Harmless > 0 {
			parts = append(parts, fmt.Sprint(n.Harmless, " harmless"))
		}
		if n.Risky > 0 {
			parts = append(parts, fmt.Sprint(n.Risky, " risky"))
		}
		out = append(out, fmt.Sprintf("%s (%s): %s", n.Node, n.Zone, strings.Join(parts, ", ")))
	}
	for _, node := range p.Unheard {
		out = append(out, node+": does not answer, and may have something there")
	}
	return out
}

// Brief is one drain in one line.
func Brief(p ebb.Progress) string {
	if p.Done {
		return fmt.Sprintf("%s: nothing is left at %d appliances", p.Target, len(p.Backends))
	}
	return fmt.Sprintf("%s: %d harmless and %d risky requests at %d appliances, waiting for %d nodes", p.Target, p.Harmless, p.Risky,
		len(p.Backends), len(p.Nodes)+len(p.Unheard))
}
