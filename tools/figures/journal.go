package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// commitLen is the number of hexadecimal digits of a commit's hash in the record.
const commitLen = 7

// Values of fields in the journal.
const (
	realScoreCommand = "real-score"
	scoreSuffix      = "score"
	quickMode        = "quick"
)

// journalEntry holds the fields of a journal file that the record needs.
type journalEntry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Mode    string   `json:"mode"`
	Site    string   `json:"site"`
	Head    string   `json:"head"` // commit
	Dirty   bool     `json:"dirty"`
	Panel   string   `json:"panel"` // the days that the run covers
	At      []string `json:"at"`
	Sim     bool     `json:"sim"` // the run is of the project's own adapter or agent
	OK      bool     `json:"ok"`  // the run completed
	Score   *float64 `json:"score"`
	Figures struct {
		Real *float64 `json:"real_score"`
		Gate *float64 `json:"gate"` // result of the standing test: 1 if passed, 0 if failed
	} `json:"figures"`
	Policy []journalPolicy `json:"policy"`
	Days   []journalDay    `json:"days"`
}

// journalPolicy is a source file of the policy that the run used.
type journalPolicy struct {
	SHA256 string `json:"sha256"`
}

// journalDay is the result of one day.
type journalDay struct {
	Name  string             `json:"name"`
	Fault *string            `json:"fault"`
	Rules map[string]float64 `json:"rules"` // number of violations of each rule
	Gate  any                `json:"gate"`  // the reason as a string if the day failed the gate, otherwise another type
}

// brokenRules returns the rules that were violated on the day, its fault and its failed gate.
func (d journalDay) brokenRules() []string {
	var broken []string
	for rule, count := range d.Rules {
		if count > 0 {
			broken = append(broken, d.Name+" "+rule)
		}
	}
	if d.Fault != nil {
		broken = append(broken, d.Name+" fault")
	}
	if reason, _ := d.Gate.(string); reason != "" {
		broken = append(broken, d.Name+" gate: "+reason)
	}
	return broken
}

// score returns the score of the run, or nil if it has none.
func (e journalEntry) score() *float64 {
	if e.Command == realScoreCommand {
		return e.Figures.Real
	}
	return e.Score
}

// bench returns the name of the benchmark. For runs of real agents it depends on the days in the panel: those of the
// standing test contain +mass and those of a large fleet +vast; all others are days of few agents on sockets.
func (e journalEntry) bench() string {
	switch {
	case e.Command != realScoreCommand:
		return "simulated"
	case strings.Contains(e.Panel, "+mass"):
		return "standing"
	case strings.Contains(e.Panel, "+vast"):
		return "fleet"
	default:
		return "sockets"
	}
}

// kind returns quickMode if the run covers only part of the days, and "full" otherwise.
func (e journalEntry) kind() string {
	if e.Mode == quickMode || strings.HasSuffix(e.Panel, ":"+quickMode) {
		return quickMode
	}
	return "full"
}

// commit returns the abbreviated commit hash, with a plus sign if the work tree had uncommitted changes.
func (e journalEntry) commit() string {
	commit := e.Head[:min(commitLen, len(e.Head))]
	if e.Dirty {
		commit += "+"
	}
	return commit
}

// rules returns the rules that the run violated in alphabetical order, or rulesKept if there are none.
func (e journalEntry) rules() string {
	var broken []string
	for _, day := range e.Days {
		broken = append(broken, day.brokenRules()...)
	}
	if e.Figures.Gate != nil && *e.Figures.Gate == 0 {
		broken = append(broken, "GATE FAILED")
	}
	if len(broken) == 0 {
		return rulesKept
	}
	slices.Sort(broken)
	return strings.Join(broken, "; ")
}

// complete reports whether the entry is of a completed and scored run of the project's own adapter or agent.
func (e journalEntry) complete() bool {
	scored := strings.HasSuffix(e.Command, scoreSuffix) && e.score() != nil
	return scored && e.Sim && e.OK && e.Site != "" && len(e.At) > 0 && len(e.Policy) > 0
}

// runOf returns the record's line for an entry, and false if the entry is not complete.
func runOf(entry journalEntry) (run scoredRun, ok bool) {
	if !entry.complete() {
		return scoredRun{}, false
	}
	return scoredRun{
		date:       entry.At[0],
		commit:     entry.commit(),
		site:       entry.Site,
		bench:      entry.bench(),
		kind:       entry.kind(),
		score:      *entry.score(),
		rules:      entry.rules(),
		policyHash: entry.Policy[0].SHA256[:hashLen],
		days:       entry.Panel,
		entryID:    entry.ID,
	}, true
}

// addJournal adds the runs of a journal that are missing from a record, and sorts the record by date.
func addJournal(record []scoredRun, dir string) ([]scoredRun, error) {
	known := map[string]bool{}
	for _, run := range record {
		known[run.entryID] = true
	}
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	for _, path := range paths {
		entry, err := readEntry(path)
		if err != nil {
			return nil, err
		}
		if run, ok := runOf(entry); ok && !known[run.entryID] {
			record = append(record, run)
		}
	}
	slices.SortStableFunc(record, func(a, b scoredRun) int { return strings.Compare(a.date, b.date) })
	return record, nil
}

// readEntry reads one file of the journal.
func readEntry(path string) (journalEntry, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return journalEntry{}, err
	}
	var entry journalEntry
	if err := json.Unmarshal(text, &entry); err != nil {
		return journalEntry{}, fmt.Errorf("%s: %w", path, err)
	}
	return entry, nil
}
