package main

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A short run answers all requests while 19 builds replace one another. check detects memory growth and unanswered
// requests.
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
		t.Errorf("check of memory growth: %v", err)
	}
	report.memoryByQuarter[3] = 7 << 20
	if err := report.check(); err != nil {
		t.Error(err)
	}
	report.other--
	if err := report.check(); !errors.Is(err, errUnanswered) {
		t.Errorf("check of an unanswered request: %v", err)
	}
}
