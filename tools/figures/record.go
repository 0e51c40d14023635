package main

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
)

// rulesKept is the value of scoredRun.rules for a run without violations.
const rulesKept = "kept"

// scoredRun is one line of the record. Runs are comparable if they have the same site, bench, kind and days.
type scoredRun struct {
	date       string
	commit     string
	site       string
	bench      string
	kind       string // full or quick
	score      float64
	rules      string // rulesKept, or the violated rules
	policyHash string // hash of the policy that the run used
	days       string // the set of days that the run covers
	entryID    string // ID of the run's journal entry
}

// columns are the names of the record's columns.
var columns = []string{"date", "commit", "site", "bench", "kind", "figure", "rules", "module", "days", "snapshot"}

// csvRow returns the run as a row of the record.
func (r scoredRun) csvRow() []string {
	score := strconv.FormatFloat(r.score, 'f', 4, 64)
	return []string{r.date, r.commit, r.site, r.bench, r.kind, score, r.rules, r.policyHash, r.days, r.entryID}
}

// parseRow parses a row of the record.
func parseRow(row []string) (scoredRun, error) {
	if len(row) != len(columns) {
		return scoredRun{}, fmt.Errorf("%d columns, want %d", len(row), len(columns))
	}
	score, err := strconv.ParseFloat(row[5], 64)
	if err != nil {
		return scoredRun{}, err
	}
	return scoredRun{
		date:       row[0],
		commit:     row[1],
		site:       row[2],
		bench:      row[3],
		kind:       row[4],
		score:      score,
		rules:      row[6],
		policyHash: row[7],
		days:       row[8],
		entryID:    row[9],
	}, nil
}

// readRecord reads a record. It returns an empty record for an empty input.
func readRecord(in io.Reader) ([]scoredRun, error) {
	rows, err := csv.NewReader(in).ReadAll()
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var record []scoredRun
	for i, row := range rows[1:] {
		run, err := parseRow(row)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+2, err)
		}
		record = append(record, run)
	}
	return record, nil
}

// writeRecord writes a record with a header row.
func writeRecord(out io.Writer, record []scoredRun) error {
	rows := [][]string{columns}
	for _, run := range record {
		rows = append(rows, run.csvRow())
	}
	return csv.NewWriter(out).WriteAll(rows)
}

// readRecordFile reads a record from a file. If mayBeMissing is set, it returns an empty record for a missing file.
func readRecordFile(path string, mayBeMissing bool) ([]scoredRun, error) {
	file, err := os.Open(path)
	if mayBeMissing && errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	record, err := readRecord(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return record, nil
}

// writeRecordFile writes a record to a file and replaces the previous content.
func writeRecordFile(path string, record []scoredRun) error {
	var text strings.Builder
	if err := writeRecord(&text, record); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text.String()), 0o644)
}
