package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validSettings = `{"node":"edge-a-1","role":"steward","ip":"10.1.0.35","zone":"a1","region":"a","more":{"x":[1]},
"zones":{"a1":"a","a2":"a","b1":"b","b2":"b","c1":"c","c2":"c"},"listens":{"control":"10.1.0.35:8146"},
"sparePorts":[7660,7675],
"firstContacts":["10.1.0.35:8146"],"freshStart":true,"limits":{"ramMb":284},"pulse":"1300ms",
"withstand":{"hostsLost":1,"zones":1,"regions":1},
"limitsTable":["empty=3000ms","retryShare=0.2","extraTries=64","unheard=of"]}`

// All fields are parsed, unknown fields are ignored, and ToleratedDiskLosses returns the largest alternative.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	limits := s.RuleLimits
	if limits.DrainTime != 3*time.Second || limits.RetryBudgetRatio != 0.2 ||
		limits.HeartbeatInterval != 1300*time.Millisecond {
		t.Errorf("limits: %+v", limits)
	}
	if len(s.Zones) != 6 || s.ToleratedDiskLosses(1) != 2 {
		t.Errorf("%d zones and %d tolerated disk losses, want 6 and 2", len(s.Zones), s.ToleratedDiskLosses(1))
	}
	s.FaultTolerance.Hosts = 3
	if s.ToleratedDiskLosses(1) != 3 {
		t.Error("FaultTolerance.Hosts is ignored")
	}
}

// An error of invalid settings names the field.
func TestParseErrors(t *testing.T) {
	for _, test := range []struct{ valid, invalid, field string }{
		{`"node":"edge-a-1"`, `"node":""`, "node"},
		{`"zone":"a1"`, `"zone":"z"`, "zone"},
		{`[7660,7675]`, `[7660]`, "sparePorts"},
		{`[7660,7675]`, `["x"]`, ""},
		{`["10.1.0.35:8146"]`, `[]`, "firstContacts"},
		{`"1300ms"`, `"soon"`, "pulse"},
		{`empty=3000ms`, `empty=-3s`, "limitsTable"},
		{`empty=3000ms`, `empty`, "limitsTable"},
		{`retryShare=0.2`, `retryShare=NaN`, "limitsTable"},
		{`"unheard=of"]}`, `"unheard=of"]`, ""},
	} {
		if !strings.Contains(validSettings, test.valid) {
			t.Fatalf("validSettings does not contain %s", test.valid)
		}
		_, err := Parse([]byte(strings.Replace(validSettings, test.valid, test.invalid, 1)))
		if err == nil || !strings.Contains(err.Error(), test.field) {
			t.Errorf("%s: unexpected error %v", test.invalid, err)
		}
		var fieldError *FieldError
		if test.field != "" && (!errors.As(err, &fieldError) || fieldError.Field != test.field) {
			t.Errorf("%s: %v, want an error of %s", test.invalid, err, test.field)
		}
	}
}

// Durations in ms and s are accepted; other units, negative numbers and numbers out of range are rejected.
func TestParseDuration(t *testing.T) {
	valid := map[string]time.Duration{"1500ms": 1500 * time.Millisecond, "2.5s": 2500 * time.Millisecond, "0ms": 0}
	for text, want := range valid {
		if got, err := ParseDuration(text); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "s", "1", "-1s", "1e99s", "NaNs", "Infms", "5m"} {
		if got, err := ParseDuration(text); !errors.Is(err, ErrDuration) {
			t.Errorf("%q parsed as %v with error %v, want ErrDuration", text, got, err)
		}
	}
}
