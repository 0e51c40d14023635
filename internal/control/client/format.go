package client

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sagelever/internal/control/drain"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// WriteTable writes drains as a table for operators, followed by what each drain waits for. Idempotent requests are
// called harmless and the others risky, as in the kinds of routes.
func WriteTable(w io.Writer, drains []drain.Progress) {
	if len(drains) == 0 {
		fmt.Fprintln(w, "nothing is drained")
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(table, "TARGET\tSTATE\tFOR\tBACKENDS\tHARMLESS\tRISKY")
	for _, progress := range drains {
		elapsed := time.Duration(progress.ElapsedMs) * time.Millisecond
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n",
			progress.Target,
			stateName(progress),
			elapsed.Round(100*time.Millisecond),
			len(progress.Backends),
			progress.Idempotent,
			progress.NonIdempotent)
	}
	_ = table.Flush() // the output is the operator's terminal, so an error can't be reported elsewhere
	for _, progress := range drains {
		for _, blocker := range blockers(progress) {
			fmt.Fprintf(w, "  %s: %s\n", progress.Target, blocker)
		}
	}
}

func stateName(progress drain.Progress) string {
	if progress.Done {
		return "done"
	}
	return "in progress"
}

// blockers describes what a drain waits for, in one line for each proxy.
func blockers(progress drain.Progress) []string {
	var lines []string
	for _, proxy := range progress.BlockingProxies {
		var reasons []string
		if proxy.MaySend {
			reasons = append(reasons, "does not know of the drain yet")
		}
		if proxy.Idempotent > 0 {
			reasons = append(reasons, fmt.Sprint(proxy.Idempotent, " harmless"))
		}
		if proxy.NonIdempotent > 0 {
			reasons = append(reasons, fmt.Sprint(proxy.NonIdempotent, " risky"))
		}
		lines = append(lines, fmt.Sprintf("%s (%s): %s", proxy.Proxy, proxy.Zone, strings.Join(reasons, ", ")))
	}
	for _, proxy := range progress.Unresponsive {
		lines = append(lines, proxy+": does not answer, and may have requests in flight")
	}
	return lines
}

// Summary describes the progress of a drain in one line.
func Summary(progress drain.Progress) string {
	if progress.Done {
		return fmt.Sprintf("%s: nothing is left at %d backends", progress.Target, len(progress.Backends))
	}
	waitingFor := len(progress.BlockingProxies) + len(progress.Unresponsive)
	return fmt.Sprintf("%s: %d harmless and %d risky requests at %d backends, waiting for %d proxies",
		progress.Target, progress.Idempotent, progress.NonIdempotent, len(progress.Backends), waitingFor)
}
