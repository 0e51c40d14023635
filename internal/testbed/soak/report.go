package soak

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// counts are the measurements of a run. They are safe for concurrent use.
type counts struct {
	mu      sync.Mutex
	probes  map[int]int                        // by status
	usages  map[string]map[string]processUsage // by stage of the run and process
	samples []sample
}

// processUsage is the resource usage of a process.
type processUsage struct{ descriptors, memoryKB int }

// sample is an entry of the timeline.
type sample struct {
	at           time.Duration // since the start of the run
	responses    map[int]int   // to clients since the previous sample, by status
	maxConfigAge time.Duration // of all proxies
}

func newCounts() *counts {
	return &counts{probes: map[int]int{}, usages: map[string]map[string]processUsage{}}
}

func (c *counts) probe(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes[status]++
}

// recordUsage records the resource usage of each process at a stage of the run.
func (c *counts) recordUsage(stage string, processes map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usages[stage] = map[string]processUsage{}
	for name, pid := range processes {
		if usage, err := readUsage(pid); err == nil {
			c.usages[stage][name] = usage
		}
	}
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(pid int) (processUsage, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return processUsage{}, err
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return processUsage{}, err
	}
	usage := processUsage{descriptors: len(entries)}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			usage.memoryKB, _ = strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
		}
	}
	return usage, nil
}

// Bounds on the growth of a process's descriptors during a run.
const (
	// descriptorGrowthDivisor allows growth by one in so many descriptors: a tenth.
	descriptorGrowthDivisor = 10

	// maxIdleConnections is the number of idle connections that a node may keep to and from the 5 other controllers, 16
	// in each direction. Their number depends on the last burst of calls, and they stay open for longer than a run.
	maxIdleConnections = 2 * 16 * 5
)

// leaks returns a description of each process whose number of descriptors grew beyond the bounds, by name. Memory is
// reported but not checked, because the Go runtime returns it to the system with a delay.
func (c *counts) leaks() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]string{}
	for name, after := range c.usages["after"] {
		before, known := c.usages["before"][name]
		limit := before.descriptors + before.descriptors/descriptorGrowthDivisor + maxIdleConnections
		if known && after.descriptors > limit {
			found[name] = fmt.Sprintf("holds %d descriptors after the run, %d before", after.descriptors, before.descriptors)
		}
	}
	return found
}

// maxMemoryKB returns the maximum memory of any process at a stage of the run.
func (c *counts) maxMemoryKB(stage string) (maximum int) {
	for _, usage := range c.usages[stage] {
		maximum = max(maximum, usage.memoryKB)
	}
	return maximum
}

// Report is the result of a run.
type Report struct {
	Plan     Plan
	Requests map[int]int    // by status; 0: no response
	Orders   [2]int64       // sent and acknowledged
	Refusals [2]int         // with a promise that they were not executed, and all; non-idempotent requests only
	Arrivals map[string]int // of requests at backends, by their effect

	// SameConnection is the number of arrivals on a connection on which the same request had arrived before.
	SameConnection int

	Findings []string
	total    int // findings, including those that were not recorded
	counts   *counts
}

// Failed reports whether the run has findings.
func (r *Report) Failed() bool { return r.total > 0 }

// report checks all requests and returns the report of the run.
func (r *run) report() *Report {
	report := &Report{Plan: r.plan, Requests: map[int]int{}, counts: r.counts}
	for _, record := range r.requests.all() {
		record.completedRuns, record.abortedRuns = r.cluster.Ledger.Runs(record.id)
		record.drops = r.cluster.Ledger.Drops(record.id)
		if record.nonIdempotent {
			report.Refusals[1]++
			if record.complete && guaranteesNotExecuted(record.status) {
				report.Refusals[0]++
			}
		}
		status := record.status
		if !record.complete {
			status = 0
		}
		report.Requests[status]++
		if text := checkRequest(record, &r.injector.disturbed); text != "" {
			r.findings.add(finding{at: record.sentAt, node: record.proxy, text: "request " + record.id + ": " + text,
				tryID: record.id, details: r.arrivals(record.id)})
		}
	}
	report.Arrivals, report.SameConnection = r.cluster.Ledger.Effects()
	report.Orders = [2]int64{r.routes.sentOrders.Load(), r.routes.ackedOrders.Load()}
	return report
}

// arrivals returns a line for each arrival of a request at a backend.
func (r *run) arrivals(id string) (lines []string) {
	for _, arrival := range r.cluster.Ledger.Arrivals(id) {
		lines = append(lines, arrival.String())
	}
	return lines
}

// addLogs adds the findings to the report, each with the log lines of its node around that time.
func (r *run) addLogs(report *Report) {
	r.findings.mu.Lock()
	defer r.findings.mu.Unlock()
	report.total = r.findings.total
	slices.SortStableFunc(r.findings.list, func(a, b finding) int { return a.at.Compare(b.at) })
	for _, found := range r.findings.list {
		lines := append([]string{found.describe(r.startedAt)}, found.details...)
		if path := r.logPath(found.node); path != "" {
			lines = append(lines, logAround(path, found.at)...)
			lines = append(lines, logOfRequest(path, found.tryID)...)
		}
		report.Findings = append(report.Findings, strings.Join(lines, "\n    "))
	}
}

// logPath returns the path of a node's log file, or "" if there is none.
func (r *run) logPath(node string) string {
	if zone, ok := strings.CutPrefix(node, "controller-"); ok {
		return r.cluster.LogFile("core-"+zone, "controller")
	}
	if index, ok := strings.CutPrefix(node, "proxy-"); ok {
		return r.cluster.LogFile("edge-"+index, "proxy")
	}
	return ""
}

// Print prints a summary line and the findings.
func (r *Report) Print(w io.Writer) {
	verdict := "clean"
	if r.Failed() {
		verdict = fmt.Sprintf("%d findings", r.total)
	}
	fmt.Fprintf(w, "seed %d: %s; answers %s; probes %s; orders %d, acknowledged %d; most memory %d MB, before %d MB\n",
		r.Plan.Seed, verdict, statuses(r.Requests), statuses(r.counts.probes), r.Orders[0], r.Orders[1],
		r.counts.maxMemoryKB("after")>>10, r.counts.maxMemoryKB("before")>>10)
	fmt.Fprintf(w, "refused with a promise: %d of %d non-idempotent requests; arrivals at backends %v, again on one connection: %d\n",
		r.Refusals[0], r.Refusals[1], r.Arrivals, r.SameConnection)
	for _, text := range r.Findings {
		fmt.Fprintln(w, text)
	}
}

// statuses formats the number of responses by status.
func statuses(counts map[int]int) string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d:%d", status, counts[status]))
	}
	return strings.Join(parts, " ")
}

// SavePlan saves the plan of a run in the directory of its report.
func (r *Report) SavePlan(reportPath string) error {
	return r.Plan.Save(filepath.Join(filepath.Dir(reportPath), fmt.Sprintf("plan-%d.json", r.Plan.Seed)))
}

// PrintTimeline prints the responses, the maximum age of the configuration and the troubles for each sample period.
func (r *Report) PrintTimeline(w io.Writer) {
	troubles := r.Plan.Troubles
	r.counts.mu.Lock()
	defer r.counts.mu.Unlock()
	for _, sample := range r.counts.samples {
		for len(troubles) > 0 && troubles[0].At <= sample.at {
			fmt.Fprintln(w, "          ", troubles[0])
			troubles = troubles[1:]
		}
		fmt.Fprintf(w, "%7.2f s  answers %s; oldest configuration %.1f s\n",
			sample.at.Seconds(), statuses(sample.responses), sample.maxConfigAge.Seconds())
	}
}
