package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// commitLen is how many digits of a commit's hash the record keeps.
const commitLen = 7

// Names in the journal.
const (
	realScoreCommand = "real-score"
	scoreSuffix      = "score"
	quickMode        = "quick"
)

// journalEntry is what the record needs of one file of the journal.
type journalEntry struct {
	ID      string   `json:"id"`
	Command string   `json:"cmd"`
	Mode    string   `json:"mode"`
	Site    string   `json:"site"`
	Head    string   `json:"head"` // commit
	Dirty   bool     `json:"dirty"`
	Panel   string   `json:"panel"` // the days that were played
	At      []string `json:"at"`
	Sim     bool     `json:"sim"` // of the project's own adapter or agent
	OK      bool     `json:"ok"`  // the run was finished
	Score   *float64 `json:"score"`
	Figures struct {
		Real *float64 `json:"real_score"`
		Gate *float64 `json:"gate"` // of the standing test: 1 if passed, 0 if failed
	} `json:"figures"`
	Policy []journalPolicy `json:"policy"`
	Days   []journalDay    `json:"days"`
}

// journalPolicy is a file of the policy that ran.
type journalPolicy struct {
	SHA256 string `json:"sha256"`
}

// journalDay is the result of one day.
type journalDay struct {
	Name  string             `json:"name"`
	Fault *string            `json:"fault"`
	Rules map[string]float64 `json:"rules"` // how often each rule was broken
	Gate  any                `json:"gate"`  // a text that says why the day failed the gate, or something else
}

// brokenRules returns what the day broke.
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

// score returns the score of the entry's run, or nil if it has none.
func (e journalEntry) score() *float64 {
	if e.Command == realScoreCommand {
		return e.Figures.Real
	}
	return e.Score
}

// bench returns the benchmark of the entry. Runs of real agents are told apart by their panel: the standing test (its
// days are +mass), the days of a large fleet (+vast), or the days of few agents on sockets.
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

// kind returns whether all days were played.
func (e journalEntry) kind() string {
	if e.Mode == quickMode || strings.HasSuffix(e.Panel, ":"+quickMode) {
		return quickMode
	}
	return "full"
}

// commit returns the abbreviated commit, with a plus if the work tree had changes.
func (e journalEntry) commit() string {
	commit := e.Head[:min(commitLen, len(e.Head))]
	if e.Dirty {
		commit += "+"
	}
	return commit
}

// rules returns rulesKept, or which rules the run broke, in alphabetical order.
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

// complete reports whether the entry is of a finished and scored run of the project's own adapter or agent.
func (e journalEntry) complete() bool {
	scored := strings.HasSuffix(e.Command, scoreSuffix) && e.score() != nil
	return scored && e.Sim && e.OK && e.Site != "" && len(e.At) > 0 && len(e.Policy) > 0
}

// runOf returns the record's line for an entry, if the entry is complete.
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

// addJournal adds the runs of a journal that a record lacks, and sorts the record by date.
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
