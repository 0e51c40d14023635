package plan

import (
	"slices"

	"sagelever/internal/control/quorum"
)

// StandsAlone tells whether a call is valid by what its own registers hold, so that nothing else has to be read: a route that
// stays in its place, with services that it names already, shares no place that it did not share and names no service that is
// not there. Weights, times and ranks change so.
func StandsAlone(held, sent map[string]quorum.Value) bool {
	for key, v := range sent {
		switch kind, name, _ := SplitKey(key); {
		case kind == Services && v.Gone && standingOf(held[key], v) == fresh:
			return false
		case kind == Routes && !v.Gone && !routeStandsAlone(name, held[key], v):
			return false
		}
	}
	return true
}

func routeStandsAlone(name string, held, sent quorum.Value) bool {
	switch standingOf(held, sent) {
	case taken, clashing:
		return true // nothing of it is judged: it is confirmed again, or the call is a conflict
	case late, forgotten:
		return false
	}
	if held.Version == 0 || held.Gone {
		return false
	}
	was, err := readRoute(name, held)
	if err != nil {
		return false
	}
	next, err := readRoute(name, sent)
	if err != nil || next.place() != was.place() {
		return false
	}
	named := was.services()
	return !slices.ContainsFunc(next.services(), func(s string) bool { return !slices.Contains(named, s) })
}

// SettleAlone is Settle for a call that is valid by what its registers hold; over others it changes nothing, and the call
// has to be checked by all that is in force.
func SettleAlone(sent map[string]quorum.Value) quorum.Decide {
	settle := Settle(sent)
	return func(held map[string]quorum.Value) map[string]quorum.Value {
		if !StandsAlone(held, sent) {
			return nil
		}
		return settle(held)
	}
}
