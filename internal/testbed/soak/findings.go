package soak

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// maxFindings is how many findings are kept.
	maxFindings = 50

	// logSpan is how long before and after a finding lines of its node's log belong to it.
	logSpan = time.Second

	// maxLogLines is how many lines are kept of each log.
	maxLogLines = 15
)

// finding is a guarantee that was broken.
type finding struct {
	at   time.Time
	node string // the name of the node concerned; "" for none
	text string
}

// findings collects what was found. It is safe for concurrent use.
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

// logAround returns the lines of a log file that were written around a time. Lines begin with the time of day.
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

// clockOf formats a time as the logs do.
func clockOf(at time.Time) string { return at.Format("15:04:05.000") }

// String returns the finding in one line, with its time in the run.
func (f finding) describe(startedAt time.Time) string {
	text := fmt.Sprintf("%8.3f s  %s", f.at.Sub(startedAt).Seconds(), f.text)
	if f.node != "" {
		text += " (" + f.node + ")"
	}
	return text
}
