package main

import (
	"fmt"
	"slices"
	"strings"
)

// noiseThreshold is the largest change of a score that the benchmarks' documentation attributes to chance.
const noiseThreshold = 0.03

// series identifies the runs whose scores are compared over time.
type series struct{ site, bench, kind string }

// compare orders series by benchmark, site and kind.
func (s series) compare(other series) int {
	return strings.Compare(s.bench+s.site+s.kind, other.bench+other.site+other.kind)
}

// history is the state of a series after its last run.
type history struct {
	latest scoredRun
	best   scoredRun // the best of the runs since the days last changed
}

// add adds a run that is later than all previous ones.
func (h *history) add(run scoredRun) {
	if h.latest.days != run.days || run.score > h.best.score {
		h.best = run
	}
	h.latest = run
}

// describe returns a line about the latest run, given the hash of the current policy.
func (h *history) describe(policyHash string) string {
	latest := h.latest
	line := fmt.Sprintf("%-9s %-5s %-20s %.3f at %s", latest.bench, latest.kind, latest.site, latest.score, latest.commit)
	if drop := h.best.score - latest.score; drop > noiseThreshold {
		line += fmt.Sprintf("  FALLEN by %.3f from %.3f at %s", drop, h.best.score, h.best.commit)
	}
	if latest.rules != rulesKept {
		line += "  RULES: " + latest.rules
	}
	if latest.policyHash != policyHash {
		line += "  not scored since the policy changed"
	}
	return line
}

// findings returns a line for each series of a record, which must be sorted by date: the latest score, its distance
// from the best score if it is lower, and whether the run used the policy with the given hash.
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
