package soak

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxFindings is how many findings are recorded; further ones are only counted.
	maxFindings = 50

	// logSpan is how long before and after a finding its report includes lines of the node's log.
	logSpan = time.Second

	// maxLogLines is how many log lines a finding includes.
	maxLogLines = 15
)

// finding is a violation of a guarantee.
type finding struct {
	at   time.Time
	node string // name of the affected node; "" if none
	text string

	tryID   string   // of the affected request; "" if none
	details []string // lines about the affected request
}

// findings collects the violations of a run. It is safe for concurrent use.
type findings struct {
	mu    sync.Mutex
	list  []finding
	total int
}

func (f *findings) add(found finding) {
	if found.at.IsZero() {
		found.at = time.Now()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.total++
	if len(f.list) < maxFindings {
		f.list = append(f.list, found)
	}
}

// logAround returns the lines of a log file that were written within logSpan of a time. Each line begins with the time
// of day.
func logAround(path string, at time.Time) (lines []string) {
	file, err := os.Open(path)
	if err != nil {
		return []string{err.Error()}
	}
	defer file.Close()
	from, to := clockOf(at.Add(-logSpan)), clockOf(at.Add(logSpan))
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		clock, _, _ := strings.Cut(line, "\t")
		if clock >= from && clock <= to && len(lines) < maxLogLines {
			lines = append(lines, line)
		}
	}
	return lines
}

// logOfRequest returns the lines of a log file that name a request.
func logOfRequest(path, tryID string) (lines []string) {
	data, err := os.ReadFile(path)
	if err != nil || tryID == "" {
		return nil
	}
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, strconv.Quote(tryID)) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// clockOf formats a time of day as the logs do.
func clockOf(at time.Time) string { return at.Format("15:04:05.000") }

// describe returns the finding as one line, with its time since the start of the run.
func (f finding) describe(startedAt time.Time) string {
	text := fmt.Sprintf("%8.3f s  %s", f.at.Sub(startedAt).Seconds(), f.text)
	if f.node != "" {
		text += " (" + f.node + ")"
	}
	return text
}
