package main

import (
	"strconv"
	"strings"
	"time"
)

// Field names and events in an agent's log.
const (
	timeKey      = "time"
	eventKey     = "event"
	levelKey     = "level"
	textKey      = "text"
	accountEvent = "account" // counters since the previous account line
	policyEvent  = "module"  // a line that the policy logs
)

// logRecord is an account line or a line of the policy.
type logRecord struct {
	at       time.Time // according to the agent's clock
	path     string    // path of the log
	counters map[string]int64
	text     string // text of a line of the policy; empty for an account line
}

// parseLine parses a log line of key=value fields. It returns false for lines of other events.
func parseLine(line string) (record logRecord, ok bool) {
	record.counters = map[string]int64{}
	event := ""
	for field := range strings.FieldsSeq(line) {
		key, value, found := strings.Cut(field, "=")
		if !found {
			continue
		}
		switch key {
		case timeKey:
			record.at, _ = time.Parse(time.RFC3339Nano, value) // lines without a valid time are rejected below
		case eventKey:
			event = value
		case levelKey:
		default:
			if count, err := strconv.ParseInt(value, 10, 64); err == nil {
				record.counters[key] = count
			}
		}
	}
	if event == policyEvent {
		_, record.text, _ = strings.Cut(line, textKey+"=")
	}
	return record, !record.at.IsZero() && (event == accountEvent || event == policyEvent)
}
