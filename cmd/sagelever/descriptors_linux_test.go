package main

import (
	"os"
	"regexp"
	"strconv"
	"testing"
)

// The table has the requested capacity before any descriptor is opened.
func TestGrowDescriptorTable(t *testing.T) {
	slots := func() int {
		text, err := os.ReadFile("/proc/self/status")
		if err != nil {
			t.Skip(err)
		}
		n, _ := strconv.Atoi(string(regexp.MustCompile(`FDSize:\s*(\d+)`).FindSubmatch(text)[1]))
		return n
	}
	capacity := 2 * slots()
	if err := growDescriptorTable(capacity); err != nil {
		t.Skip(err) // the descriptor limit of the process is lower
	}
	if got := slots(); got < capacity {
		t.Errorf("capacity for %d descriptors, want %d", got, capacity)
	}
}
