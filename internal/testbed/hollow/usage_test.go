package hollow

import (
	"testing"
	"time"
)

func TestParseCPUTime(t *testing.T) {
	t.Parallel()
	got, err := parseCPUTime("12 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 9 0 1")
	if want := 1750 * time.Millisecond; err != nil || got != want {
		t.Errorf("got %s, %v, want %s", got, err, want)
	}
	for _, invalid := range []string{"", "12 (a) S 1 2", "12 (a) S 1 2 3 4 5 6 7 8 9 10 x 25 0"} {
		if _, err := parseCPUTime(invalid); err == nil {
			t.Errorf("%q was parsed without an error", invalid)
		}
	}
}

func TestParseMemoryField(t *testing.T) {
	t.Parallel()
	const status = "Name:\ta\nVmHWM:\t  200 kB\nVmRSS:\t  100 kB\n"
	for name, want := range map[string]int64{"VmRSS:": 100 * kilobyte, "VmHWM:": 200 * kilobyte, "VmNone:": 0} {
		if got := parseMemoryField(status, name); got != want {
			t.Errorf("%s %d, want %d", name, got, want)
		}
	}
}
