// Command account sums the counters in the account lines of many agents' logs, by intervals of time since the first
// line. It shows problems of a fleet that the log of a single agent does not.
//
//	go run ./tools/account [-span 5s] [-votes] LOG...
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"
)

// maxLineLength is the maximum length of a log line in bytes.
const maxLineLength = 1 << 20

func main() {
	span := flag.Duration("span", 5*time.Second, "how much time a column covers")
	votes := flag.Bool("votes", false, "print the policy's lines too, in order of time")
	flag.Parse()
	if err := report(os.Stdout, flag.Args(), *span, *votes); err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

// report prints a table of the totals over all logs, with a column for each interval of the given span. If votes is
// set, it prints the policy's lines first.
func report(out io.Writer, paths []string, span time.Duration, votes bool) error {
	records, err := readLogs(paths)
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return fmt.Errorf("no account line in %d logs", len(paths))
	}
	slices.SortStableFunc(records, func(a, b logRecord) int { return a.at.Compare(b.at) })
	start := records[0].at
	sums := totals{}
	for _, record := range records {
		elapsed := record.at.Sub(start)
		for name, count := range record.counters {
			sums.add(int(elapsed/max(span, time.Millisecond)), name, count)
		}
		if votes && record.text != "" {
			fmt.Fprintf(out, "%8.2f %s %s\n", elapsed.Seconds(), record.path, record.text)
		}
	}
	sums.writeTable(out, span)
	return nil
}

// readLogs returns the records of all logs, in the order of the paths.
func readLogs(paths []string) ([]logRecord, error) {
	var records []logRecord
	for _, path := range paths {
		logRecords, err := readLog(path)
		if err != nil {
			return nil, err
		}
		records = append(records, logRecords...)
	}
	return records, nil
}

// readLog returns the records of one log.
func readLog(path string) ([]logRecord, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var records []logRecord
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineLength)
	for lines.Scan() {
		if record, ok := parseLine(lines.Text()); ok {
			record.path = path
			records = append(records, record)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

// totals holds the sums of all agents' counters, by the index of the interval and the counter's name.
type totals map[int]map[string]int64

// add adds a count to the total of a counter in an interval.
func (t totals) add(interval int, name string, count int64) {
	if t[interval] == nil {
		t[interval] = map[string]int64{}
	}
	t[interval][name] += count
}

// writeTable writes a row for each counter, with a column for each interval of the given span.
func (t totals) writeTable(out io.Writer, span time.Duration) {
	intervals := slices.Sorted(maps.Keys(t))
	names := map[string]bool{}
	for _, counters := range t {
		for name := range counters {
			names[name] = true
		}
	}
	fmt.Fprintf(out, "%-22s", "from")
	for _, interval := range intervals {
		fmt.Fprintf(out, "%8s", time.Duration(interval)*span)
	}
	fmt.Fprintln(out)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		fmt.Fprintf(out, "%-22s", name)
		for _, interval := range intervals {
			fmt.Fprintf(out, "%8d", t[interval][name])
		}
		fmt.Fprintln(out)
	}
}
