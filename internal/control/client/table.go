package client

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sagelever/internal/control/drain"
)

// WriteTable writes drains as a table for people: under each what stands in its way.
func WriteTable(w io.Writer, drains []drain.Progress) {
	if len(drains) == 0 {
		fmt.Fprintln(w, "nothing is drained")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tSTATE\tFOR\tAPPLIANCES\tHARMLESS\tRISKY")
	for _, progress := range drains {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n", progress.Target, stateName(progress), (time.Duration(progress.ElapsedMs) * time.Millisecond).Round(100*time.Millisecond), len(progress.Backends), progress.Idempotent, progress.NonIdempotent)
	}
	table.Flush()
	for _, progress := range drains {
		for _, line := range Blockers(progress) {
			fmt.Fprintf(w, "  %s: %s\n", progress.Target, line)
		}
	}
}

func stateName(progress drain.Progress) string {
	if progress.Done {
		return "done"
	}
	return "under way"
}

// Blockers say what a drain waits for, by node.
func Blockers(progress drain.Progress) (blockers []string) {
	for _, n := range progress.BlockingProxies {
		var parts []string
		if n.MaySend {
			parts = append(parts, "has not heard of it yet")
		}
		if n.Idempotent > 0 {
			parts = append(parts, fmt.Sprint(n.Idempotent, " harmless"))
		}
		if n.NonIdempotent > 0 {
			parts = append(parts, fmt.Sprint(n.NonIdempotent, " risky"))
		}
		blockers = append(blockers, fmt.Sprintf("%s (%s): %s", n.Proxy, n.Zone, strings.Join(parts, ", ")))
	}
	for _, node := range progress.Unresponsive {
		blockers = append(blockers, node+": does not answer, and may have something there")
	}
	return blockers
}

// Summary is one drain in one line.
func Summary(progress drain.Progress) string {
	if progress.Done {
		return fmt.Sprintf("%s: nothing is left at %d appliances", progress.Target, len(progress.Backends))
	}
	return fmt.Sprintf("%s: %d harmless and %d risky requests at %d appliances, waiting for %d nodes", progress.Target, progress.Idempotent, progress.NonIdempotent,
		len(progress.Backends), len(progress.BlockingProxies)+len(progress.Unresponsive))
}
