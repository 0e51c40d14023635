package main

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A short run answers every request through 19 builds; its verdict tells growth and requests without an answer.
func TestSoak(t *testing.T) {
	f, err := runSoak(3*time.Second, 100, 1, slog.New(slog.DiscardHandler))
	if err != nil || f.satisfied+f.deferred+f.other != f.sent || f.satisfied < f.sent/2 || f.builds < 15 {
		t.Fatalf("%v, %v", f, err)
	}
	f.memoryByQuarter = [4]float64{5 << 20, 6 << 20, 7 << 20, 9 << 20}
	if err := f.check(); err == nil || !strings.Contains(err.Error(), "grew by 3.00 MB") {
		t.Errorf("growth: %v", err)
	}
	f.memoryByQuarter[3] = 7 << 20
	if err := f.check(); err != nil {
		t.Error(err)
	}
	if f.other--; f.check() == nil {
		t.Error("a request without an answer passes")
	}
}
