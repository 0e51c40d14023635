package main

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A short run answers every request through 19 builds. The check finds growth, and requests without an answer.
func TestSoak(t *testing.T) {
	options := soakOptions{duration: 3 * time.Second, rate: 100, seed: 1}
	report, err := runSoak(options, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	answered := report.satisfied + report.deferred + report.other
	if answered != report.sent || report.satisfied < report.sent/2 || report.builds < 15 {
		t.Fatalf("%v", report)
	}
	report.memoryByQuarter = [quarterCount]float64{5 << 20, 6 << 20, 7 << 20, 9 << 20}
	if err := report.check(); err == nil || !strings.Contains(err.Error(), "grew by 3.00 MB") {
		t.Errorf("growth: %v", err)
	}
	report.memoryByQuarter[3] = 7 << 20
	if err := report.check(); err != nil {
		t.Error(err)
	}
	report.other--
	if err := report.check(); !errors.Is(err, errUnanswered) {
		t.Errorf("a request without an answer: %v", err)
	}
}
