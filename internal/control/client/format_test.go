package client

import (
	"strings"
	"testing"

	"sagelever/internal/control/drain"
)

// The table lists each drain, followed by each proxy that a drain waits for.
func TestWriteTable(t *testing.T) {
	var out strings.Builder
	WriteTable(&out, []drain.Progress{
		{
			Target:    "i1",
			ElapsedMs: 1234,
			Backends:  make([]drain.DrainingBackend, 1),
			BlockingProxies: []drain.BlockingProxy{
				{Proxy: "p1", Zone: "a1", MaySend: true, Idempotent: 2, NonIdempotent: 1},
			},
			Unresponsive:  []string{"p2"},
			Idempotent:    2,
			NonIdempotent: 1,
		},
		{Target: "b1", Done: true},
	})
	const want = `TARGET  STATE        FOR   BACKENDS  HARMLESS  RISKY
i1      in progress  1.2s  1         2         1
b1      done         0s    0         0         0
  i1: p1 (a1): does not know of the drain yet, 2 harmless, 1 risky
  i1: p2: does not answer, and may have requests in flight
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", &out, want)
	}
}

func TestWriteTableWithoutDrains(t *testing.T) {
	var out strings.Builder
	WriteTable(&out, nil)
	if want := "nothing is drained\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}
