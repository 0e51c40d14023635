// Command figures keeps docs/figures.csv, the record of what each scored run gave, and reads it: which site has fallen
// from its best, and which has not been scored since the module last changed. It only tells; it never fails a build
// for a figure.
//
//	go run ./tools/figures       say what the record shows
//	go run ./tools/figures -add  first take in the journal's scored runs that the record does not have
package main

import (
	"crypto/sha256"
	"encoding/csv"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// figure is one line of the record. Runs are comparable when site, bench, kind and days are the same.
type figure struct {
	date, commit, site, bench, kind string
	score                           float64
	rules                           string // kept, or what broke
	module                          string // hash of decide/decide.go as it ran
	days                            string // the set of days that was played
	snapshot                        string
}

var columns = []string{"date", "commit", "site", "bench", "kind", "figure", "rules", "module", "days", "snapshot"}

func (f figure) record() []string {
	return []string{f.date, f.commit, f.site, f.bench, f.kind, strconv.FormatFloat(f.score, 'f', 4, 64), f.rules,
		f.module, f.days, f.snapshot}
}

func parse(r []string) (f figure, err error) {
	if len(r) != len(columns) {
		return f, fmt.Errorf("%d columns, %d wanted", len(r), len(columns))
	}
	f = figure{r[0], r[1], r[2], r[3], r[4], 0, r[6], r[7], r[8], r[9]}
	f.score, err = strconv.ParseFloat(r[5], 64)
	return f, err
}

// snapshot is what is read of one file of the journal.
type snapshot struct {
	ID, Cmd, Mode, Site, Head, Panel string
	At                               []string
	Sim, OK, Dirty                   bool
	Score                            *float64
	Figures                          struct {
		Real *float64 `json:"real_score"`
		Gate *float64 // of the standing test: 1 if passed, 0 if failed
	}
	Policy []struct{ Sha256 string }
	Days   []struct {
		Name  string
		Fault *string
		Rules map[string]float64
		Gate  any // what the day failed the gate by, a text, or nothing
	}
}

// panelOf names the bench that a panel of real agents belongs to: the standing test (its days are +mass), the grown
// fleet's days (+vast), or the days of few agents on sockets.
func panelOf(panel string) string {
	switch {
	case strings.Contains(panel, "+mass"):
		return "standing"
	case strings.Contains(panel, "+vast"):
		return "fleet"
	}
	return "sockets"
}

// scored gives the line for a snapshot, if it is a finished score of the project's own adapter or agent.
func scored(s snapshot) (f figure, ok bool) {
	score, bench := s.Score, "simulated"
	if s.Cmd == "real-score" {
		score, bench = s.Figures.Real, panelOf(s.Panel)
	}
	if !strings.HasSuffix(s.Cmd, "score") || !s.Sim || !s.OK || score == nil || s.Site == "" || len(s.At) == 0 || len(s.Policy) == 0 {
		return f, false
	}
	kind := "full"
	if s.Mode == "quick" || strings.HasSuffix(s.Panel, ":quick") {
		kind = "quick"
	}
	var broken []string
	for _, d := range s.Days {
		for rule, n := range d.Rules {
			if n > 0 {
				broken = append(broken, d.Name+" "+rule)
			}
		}
		if d.Fault != nil {
			broken = append(broken, d.Name+" fault")
		}
		if why, _ := d.Gate.(string); why != "" {
			broken = append(broken, d.Name+" gate: "+why)
		}
	}
	if s.Figures.Gate != nil && *s.Figures.Gate == 0 {
		broken = append(broken, "GATE FAILED")
	}
	slices.Sort(broken)
	rules := "kept"
	if broken != nil {
		rules = strings.Join(broken, "; ")
	}
	commit := s.Head[:min(7, len(s.Head))]
	if s.Dirty {
		commit += "+"
	}
	return figure{s.At[0], commit, s.Site, bench, kind, *score, rules, s.Policy[0].Sha256[:12], s.Panel, s.ID}, true
}

// add takes in the snapshots of a journal that the record does not have yet, oldest first.
func add(record []figure, journal string) ([]figure, error) {
	have := map[string]bool{}
	for _, f := range record {
		have[f.snapshot] = true
	}
	files, err := filepath.Glob(filepath.Join(journal, "*.json"))
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var s snapshot
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if f, ok := scored(s); ok && !have[f.snapshot] {
			record = append(record, f)
		}
	}
	slices.SortStableFunc(record, func(a, b figure) int { return strings.Compare(a.date, b.date) })
	return record, err
}

const noise = 0.03 // a smaller change of a site's figure is chance, by the benches' own pages

// findings says, for each site and kind of run, what the last figure is beside the best of the same days.
func findings(record []figure, module string) (lines []string) {
	type key struct{ site, bench, kind string }
	last, best := map[key]figure{}, map[key]figure{}
	var keys []key
	for _, f := range record { // oldest first
		k := key{f.site, f.bench, f.kind}
		old, seen := last[k]
		if !seen {
			keys = append(keys, k)
		}
		if !seen || old.days != f.days || f.score > best[k].score {
			best[k] = f
		}
		last[k] = f
	}
	slices.SortFunc(keys, func(a, b key) int {
		return strings.Compare(a.bench+a.site+a.kind, b.bench+b.site+b.kind)
	})
	for _, k := range keys {
		l, b := last[k], best[k]
		line := fmt.Sprintf("%-9s %-5s %-20s %.3f at %s", k.bench, k.kind, k.site, l.score, l.commit)
		if b.score-l.score > noise {
			line += fmt.Sprintf("  FALLEN by %.3f from %.3f at %s", b.score-l.score, b.score, b.commit)
		}
		if l.rules != "kept" {
			line += "  RULES: " + l.rules
		}
		if l.module != module {
			line += "  not scored since the module changed"
		}
		lines = append(lines, line)
	}
	return lines
}

func read(from io.Reader) (record []figure, err error) {
	rows, err := csv.NewReader(from).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	for i, r := range rows[1:] {
		f, err := parse(r)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+2, err)
		}
		record = append(record, f)
	}
	return record, nil
}

func write(to io.Writer, record []figure) error {
	w := csv.NewWriter(to)
	rows := [][]string{columns}
	for _, f := range record {
		rows = append(rows, f.record())
	}
	return w.WriteAll(rows)
}

func main() {
	taking := flag.Bool("add", false, "take in what the journal has and the record has not")
	file := flag.String("record", "docs/figures.csv", "the record")
	flag.Parse()
	if err := tell(*file, *taking); err != nil {
		fmt.Fprintln(os.Stderr, "figures:", err)
		os.Exit(1)
	}
}

func tell(file string, taking bool) error {
	var record []figure
	if f, err := os.Open(file); err == nil {
		record, err = read(f)
		f.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	} else if !taking {
		return err
	}
	if taking {
		var err error
		if record, err = add(record, "journal"); err != nil {
			return err
		}
		var text strings.Builder
		if err := write(&text, record); err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
			return err
		}
	}
	module, err := os.ReadFile("decide/decide.go")
	if err != nil {
		return err
	}
	for _, l := range findings(record, fmt.Sprintf("%x", sha256.Sum256(module))[:12]) {
		fmt.Println(l)
	}
	return nil
}
