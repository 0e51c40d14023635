package message

import (
	"maps"
	"testing"

	"sagelever/internal/control/replication"
)

// The progress of a response with omitted items must not cover them or any later items of their origin.
func TestExcludeFromProgress(t *testing.T) {
	omitted := []replication.Item{
		{OriginIndex: 0, Sequence: 7},
		{OriginIndex: 0, Sequence: 5},
		{OriginIndex: 1, Sequence: 3},
	}
	for name, test := range map[string]struct {
		complete  bool
		requested replication.Vector
		want      replication.Vector
	}{
		"beyond the request": {
			requested: replication.Vector{"a": 2, "b": 1},
			want:      replication.Vector{"a": 4, "b": 2, "c": 9},
		},
		"not beyond the request": {
			requested: replication.Vector{"a": 4, "b": 1},
			want:      replication.Vector{"b": 2, "c": 9},
		},
		"complete": {complete: true, want: replication.Vector{"a": 4, "b": 2, "c": 9}},
	} {
		t.Run(name, func(t *testing.T) {
			response := &PullResponse{
				Origins:  []string{"a", "b", "c"},
				Progress: replication.Vector{"a": 8, "b": 6, "c": 9},
				Complete: test.complete,
			}
			response.ExcludeFromProgress(omitted, test.requested)
			if !maps.Equal(response.Progress, test.want) {
				t.Errorf("progress %v, want %v", response.Progress, test.want)
			}
		})
	}
}

// An item of protocol version 1 has no origin.
func TestOriginOf(t *testing.T) {
	response := &PullResponse{Origins: []string{"a", "b"}}
	for index, want := range map[int]string{-1: "", 0: "a", 1: "b", 2: ""} {
		if got := response.OriginOf(replication.Item{OriginIndex: index}); got != want {
			t.Errorf("origin of index %d is %q, want %q", index, got, want)
		}
	}
}
