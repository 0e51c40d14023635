package main

import (
	"fmt"
	"slices"
	"strings"
)

// noiseThreshold is the change of a score up to which the benchmarks' documentation takes it for chance.
const noiseThreshold = 0.03

// series identifies runs that follow one another.
type series struct{ site, bench, kind string }

func (s series) compare(other series) int {
	return strings.Compare(s.bench+s.site+s.kind, other.bench+other.site+other.kind)
}

// history is the state of a series after its last run.
type history struct {
	latest scoredRun
	best   scoredRun // of the runs that played the same days as the latest
}

// add adds the next run.
func (h *history) add(run scoredRun) {
	if h.latest.days != run.days || run.score > h.best.score {
		h.best = run
	}
	h.latest = run
}

// describe returns a line on the latest run.
func (h *history) describe(policyHash string) string {
	latest := h.latest
	line := fmt.Sprintf("%-9s %-5s %-20s %.3f at %s", latest.bench, latest.kind, latest.site, latest.score, latest.commit)
	if fall := h.best.score - latest.score; fall > noiseThreshold {
		line += fmt.Sprintf("  FALLEN by %.3f from %.3f at %s", fall, h.best.score, h.best.commit)
	}
	if latest.rules != rulesKept {
		line += "  RULES: " + latest.rules
	}
	if latest.policyHash != policyHash {
		line += "  not scored since the policy changed"
	}
	return line
}

// findings returns a line for each series of a record, which is sorted by date: its latest score, how far that is
// below the best, and whether it is of the policy with the given hash.
func findings(record []scoredRun, policyHash string) []string {
	histories := map[series]*history{}
	var order []series
	for _, run := range record {
		key := series{run.site, run.bench, run.kind}
		if histories[key] == nil {
			histories[key] = &history{latest: run, best: run}
			order = append(order, key)
		}
		histories[key].add(run)
	}
	slices.SortFunc(order, series.compare)
	var lines []string
	for _, key := range order {
		lines = append(lines, histories[key].describe(policyHash))
	}
	return lines
}
