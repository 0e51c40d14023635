package server

import (
	"maps"
	"testing"
	"time"

	"sagelever/internal/control/message"
	"sagelever/internal/control/replica"
	"sagelever/internal/control/replication"
)

// Parsing a formatted record returns the original value.
func TestRecordsRoundTrip(t *testing.T) {
	t.Parallel()
	for _, item := range []replica.PersistedItem{
		{Item: replication.Item{Key: "k", Version: 0xabc, Body: `{"a": "b c"}`}, Origin: "o.1", Sequence: 255},
		{Item: replication.Item{Key: "without a body"}, Origin: "o.1"},
		{Item: replication.Item{Key: "without an origin", Body: " "}},
	} {
		got, ok := parseItem(item.Item.Key, formatItem(item))
		if !ok || got != item {
			t.Errorf("item %+v: got %+v, %v", item, got, ok)
		}
	}
	generation := message.DiskGeneration{DiskID: "d1", Number: 17}
	if got, ok := parseGeneration(formatGeneration(generation)); !ok || got != generation {
		t.Errorf("generation %+v: got %+v, %v", generation, got, ok)
	}
	now := time.UnixMilli(1_800_000_000_123)
	for _, progress := range []replication.Vector{{}, {"o.1": 1, "o.2": 0xffff}} {
		got, at := parseProgress(formatProgress(progress, now))
		if !maps.Equal(got, progress) || !at.Equal(now) {
			t.Errorf("progress %v at %v: got %v at %v", progress, now, got, at)
		}
	}
}

// Malformed records are detected, and an empty progress record has no time.
func TestMalformedRecords(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"", "1 o", "1 o 2", "x o 2 body", "1 o x body"} {
		if item, ok := parseItem("k", text); ok {
			t.Errorf("item %q: got %+v", text, item)
		}
	}
	for _, text := range []string{"", "d1", "d1 x"} {
		if generation, ok := parseGeneration(text); ok {
			t.Errorf("generation %q: got %+v", text, generation)
		}
	}
	if item, ok := parseLegacyBackend("k", "x body"); ok {
		t.Errorf("legacy backend: got %+v", item)
	}
	if progress, at := parseProgress(""); len(progress) > 0 || !at.IsZero() {
		t.Errorf("no progress: got %v at %v", progress, at)
	}
	progress, _ := parseProgress("1 o.1=x o.2=f")
	if !maps.Equal(progress, replication.Vector{"o.2": 15}) {
		t.Errorf("progress with a malformed entry: got %v", progress)
	}
}
