package sway

import (
	"testing"
	"time"

	"sagelever/lore"
)

// An appliance whose life is over is not brought back by an older word, as of a member that was cut off when it left; after the
// time for which the core remembers it a word counts again.
func TestEndedStaysEnded(t *testing.T) {
	s := silentView("a1")
	s.join("i1", "a1", "v1", 0, start)
	ready := s.apps["i1"].App
	old := s.apps["i1"].version
	over := ready
	over.Phase = lore.Left
	s.Hear("i1", lore.LeftVersion, &over, start.Add(time.Second))
	s.Hear("i1", old, &ready, start.Add(2*time.Second))
	if s.apps["i1"] != nil {
		t.Error("an older word brings back what has left")
	}
	s.Hear("i1", old+1, &ready, start.Add(time.Second+endedMemory))
	if s.apps["i1"] == nil {
		t.Error("it is remembered without end")
	}
	if len(s.ended) > 1 {
		t.Errorf("%d are remembered", len(s.ended))
	}
}
