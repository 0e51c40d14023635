package server

import (
	"maps"
	"testing"
)

// After a failed write everything is written again: items, generations and deletions.
func TestFailedWriteIsRepeated(t *testing.T) {
	t.Parallel()
	saved := newSavedState()
	saved.sequence = 9
	saved.generations["n1"] = "3"
	saved.pending["item/again"] = "added again"
	saved.writeFailed(map[string]string{
		"item/gone":             "",
		"item/again":            "",
		"item/new":              "content",
		generationPrefix + "n1": "3",
	})
	want := map[string]string{"item/gone": "", "item/again": "added again"}
	if saved.sequence != 0 || len(saved.generations) != 0 || !maps.Equal(saved.pending, want) {
		t.Errorf("sequence %d, generations %v, to be written next %v, want %v",
			saved.sequence, saved.generations, saved.pending, want)
	}
}
