package message

import (
	"maps"
	"slices"
	"testing"

	"sagelever/internal/control/replication"
)

// A response whose last items are left out must not claim them, nor anything that comes after them at their origin.
func TestWithdrawProgress(t *testing.T) {
	leftOut := []replication.Item{
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
			response.WithdrawProgress(leftOut, test.requested)
			if !maps.Equal(response.Progress, test.want) {
				t.Errorf("progress %v, want %v", response.Progress, test.want)
			}
		})
	}
}

// An item of protocol version 1 names no origin.
func TestOriginOf(t *testing.T) {
	response := &PullResponse{Origins: []string{"a", "b"}}
	for index, want := range map[int]string{-1: "", 0: "a", 1: "b", 2: ""} {
		if got := response.OriginOf(replication.Item{OriginIndex: index}); got != want {
			t.Errorf("origin %d is %q, want %q", index, got, want)
		}
	}
}

// Parts of a response add up to what one response without a limit would be.
func TestAppend(t *testing.T) {
	whole := &PullResponse{
		Source: "m1@1", Complete: true, Truncated: true, HasQuorum: false,
		Origins:  []string{"a", "b"},
		Items:    []replication.Item{{Key: "k1", OriginIndex: 1, Sequence: 4}},
		Progress: replication.Vector{"a": 9, "b": 4},
	}
	whole.Append(&PullResponse{
		Source: "m1@1", HasQuorum: true,
		Origins:  []string{"a", "c", "b"},
		Items:    []replication.Item{{Key: "k2", OriginIndex: 2, Sequence: 6}, {Key: "k3", OriginIndex: 1, Sequence: 2}},
		Progress: replication.Vector{"b": 6, "c": 2},
	})
	var origins []string
	for _, item := range whole.Items {
		origins = append(origins, whole.OriginOf(item))
	}
	if !slices.Equal(origins, []string{"b", "b", "c"}) {
		t.Errorf("origins of the items: %v", origins)
	}
	if want := (replication.Vector{"a": 9, "b": 6, "c": 2}); !maps.Equal(whole.Progress, want) {
		t.Errorf("progress %v, want %v", whole.Progress, want)
	}
	if !whole.Complete || whole.Truncated || !whole.HasQuorum {
		t.Errorf("complete %v, truncated %v, quorum %v", whole.Complete, whole.Truncated, whole.HasQuorum)
	}
}
