// Command account adds up the `account` lines of many agents' logs, by span of time since the first line: what each
// agent does that is harmless alone shows here as the fleet's.
//
//	go run ./tools/account [-span 5s] [-votes] LOG...
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// logRecord is one line of a log that counts: when it was written, by its own clock, and its figures.
type logRecord struct {
	at       time.Time
	counters map[string]int64
	text     string // of a line of the module's
}

// parseLine reads a line of key=value; ok tells that it is an account or a line of the module's.
func parseLine(line string) (r logRecord, ok bool) {
	r.counters = map[string]int64{}
	event := ""
	for part := range strings.FieldsSeq(line) {
		name, value, found := strings.Cut(part, "=")
		if !found {
			continue
		}
		switch name {
		case "time":
			r.at, _ = time.Parse(time.RFC3339Nano, value)
		case "event":
			event = value
		case "level":
		default:
			if n, err := strconv.ParseInt(value, 10, 64); err == nil {
				r.counters[name] = n
			}
		}
	}
	if event == "module" {
		_, r.text, _ = strings.Cut(line, "text=")
	}
	return r, !r.at.IsZero() && (event == "account" || event == "module")
}

// totals is what a fleet did, by span and name.
type totals map[int]map[string]int64

func (s totals) add(span int, name string, n int64) {
	if s[span] == nil {
		s[span] = map[string]int64{}
	}
	s[span][name] += n
}

// writeTable gives a table: a row for each name, a column for each span.
func (s totals) writeTable(out io.Writer, width time.Duration) {
	var spans []int
	names := map[string]bool{}
	for span, figures := range s {
		spans = append(spans, span)
		for name := range figures {
			names[name] = true
		}
	}
	slices.Sort(spans)
	var rows []string
	for name := range names {
		rows = append(rows, name)
	}
	slices.Sort(rows)
	fmt.Fprintf(out, "%-22s", "from")
	for _, span := range spans {
		fmt.Fprintf(out, "%8s", time.Duration(span)*width)
	}
	fmt.Fprintln(out)
	for _, name := range rows {
		fmt.Fprintf(out, "%-22s", name)
		for _, span := range spans {
			fmt.Fprintf(out, "%8d", s[span][name])
		}
		fmt.Fprintln(out)
	}
}

func main() {
	width := flag.Duration("span", 5*time.Second, "how much time a column has")
	votes := flag.Bool("votes", false, "the module's lines too, in order of time")
	flag.Parse()
	if err := report(os.Stdout, flag.Args(), *width, *votes); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

func report(out io.Writer, files []string, width time.Duration, votes bool) error {
	type said struct {
		logRecord
		file string
	}
	var records []said
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if r, ok := parseLine(lines.Text()); ok {
				records = append(records, said{r, file})
			}
		}
		f.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	if len(records) == 0 {
		return fmt.Errorf("no line of an account in %d logs", len(files))
	}
	slices.SortStableFunc(records, func(a, b said) int { return a.at.Compare(b.at) })
	began, s := records[0].at, totals{}
	for _, r := range records {
		span := int(r.at.Sub(began) / max(width, time.Millisecond))
		for name, n := range r.counters {
			s.add(span, name, n)
		}
		if votes && r.text != "" {
			fmt.Fprintf(out, "%8.2f %s %s\n", r.at.Sub(began).Seconds(), r.file, r.text)
		}
	}
	s.writeTable(out, width)
	return nil
}
