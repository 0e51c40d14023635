package settings

import (
	"strings"
	"testing"
	"time"
)

const validSettings = `{"node":"edge-a-1","role":"steward","ip":"10.1.0.35","zone":"a1","region":"a","more":{"x":[1]},
"zones":{"a1":"a","a2":"a","b1":"b","b2":"b","c1":"c","c2":"c"},"listens":{"control":"10.1.0.35:8146"},"sparePorts":[7660,7675],
"firstContacts":["10.1.0.35:8146"],"freshStart":true,"limits":{"ramMb":284},"pulse":"1300ms","withstand":{"hostsLost":1,"zones":1,"regions":1},
"limitsTable":["empty=3000ms","retryShare=0.2","extraTries=64","unheard=of"]}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.RuleLimits.DrainTime != 3*time.Second || s.RuleLimits.RetryBudgetRatio != 0.2 || s.RuleLimits.HeartbeatInterval != 1300*time.Millisecond {
		t.Errorf("bounds: %+v", s.RuleLimits)
	}
	if s.ControlGroup(1).Size() != 6 || s.ToleratedDiskLosses(1) != 2 {
		t.Errorf("a core of %d, of which %d may be lost", s.ControlGroup(1).Size(), s.ToleratedDiskLosses(1))
	}
	s.FaultTolerance.Hosts = 3
	if s.ToleratedDiskLosses(1) != 3 {
		t.Error("machines that may be lost are passed over")
	}
}

// What is wrong is named with its place, and nothing is half read.
func TestParseErrors(t *testing.T) {
	for _, x := range [][3]string{
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
		if !strings.Contains(validSettings, x[0]) {
			t.Fatalf("%s does not stand in the example", x[0])
		}
		_, err := Parse([]byte(strings.Replace(validSettings, x[0], x[1], 1)))
		if err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v", x[1], err)
		}
	}
}

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{"1500ms": 1500 * time.Millisecond, "2.5s": 2500 * time.Millisecond, "0ms": 0} {
		if got, err := ParseDuration(text); err != nil || got != want {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "s", "1", "-1s", "1e99s", "NaNs", "Infms", "5m"} {
		if got, err := ParseDuration(text); err == nil {
			t.Errorf("%q passes for %v", text, got)
		}
	}
}
