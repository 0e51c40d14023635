package sway

import (
	"testing"

	"sagelever/verdict"
)

// A whole answer below 500 is the request's answer: nothing is sent again, whatever may be repeated.
func TestAnswersAreNotAskedForAgain(t *testing.T) {
	for status, want := range map[int]bool{200: false, 204: false, 302: false, 304: false, 404: false, 500: true} {
		s := view("a1", nil)
		s.join("i1", "a1", "v1", 0, start)
		s.services["s"].tokens = 9
		r, got := s.ask("/s/1", start), Outcome{Verdict: verdict.Ran, Status: status, Dialled: true, Served: status == 200}
		s.Ended(r, s.Pick(r, start), got, start)
		if again := s.Again(r, got, start); again != want {
			t.Errorf("%d: sent again: %v", status, again)
		}
	}
}
