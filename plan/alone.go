package plan

import (
	"maps"
	"slices"

	"sagelever/internal/control/quorum"
)

// StandsAlone tells whether a call is valid by what its own registers hold and by services that are known, so that nothing
// else has to be read: a route that stays in its place shares no place that it did not share, and the services that it names
// are known, or were named by what stands. Weights, times and services change so.
func StandsAlone(held, known, sent map[string]quorum.Value) bool {
	for key, v := range sent {
		switch kind, name, _ := SplitKey(key); {
		case kind == Services && v.Gone && standingOf(held[key], v) == fresh:
			return false
		case kind != Routes || v.Gone:
		default:
			lacks, stays := lacksServices(name, held[key], v)
			if !stays || slices.ContainsFunc(lacks, func(s string) bool { return !isThere(known, s) }) {
				return false
			}
		}
	}
	return true
}

// LacksServices are the registers of services that have to be known for a call to stand alone; alone is false where it can't.
func LacksServices(held, sent map[string]quorum.Value) (keys []string, alone bool) {
	wanted := map[string]bool{}
	for key, v := range sent {
		switch kind, name, _ := SplitKey(key); {
		case kind == Services && v.Gone && standingOf(held[key], v) == fresh:
			return nil, false
		case kind == Routes && !v.Gone:
			lacks, stays := lacksServices(name, held[key], v)
			if !stays {
				return nil, false
			}
			for _, s := range lacks {
				wanted[Key(Services, s)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(wanted)), true
}

func isThere(known map[string]quorum.Value, service string) bool {
	v := known[Key(Services, service)]
	return v.Version > 0 && !v.Gone
}

// lacksServices are the services that a route names anew; stays is false where it does not stay in its place, or has an older
// version that may have to be judged.
func lacksServices(name string, held, sent quorum.Value) (lacks []string, stays bool) {
	switch standingOf(held, sent) {
	case taken, clashing:
		return nil, true // nothing of it is judged: it is confirmed again, or the call is a conflict
	case late, forgotten:
		return nil, false
	}
	if held.Version == 0 || held.Gone {
		return nil, false
	}
	was, err := readRoute(name, held)
	if err != nil {
		return nil, false
	}
	next, err := readRoute(name, sent)
	if err != nil || next.place() != was.place() {
		return nil, false
	}
	named := was.services()
	for _, s := range next.services() {
		if !slices.Contains(named, s) {
			lacks = append(lacks, s)
		}
	}
	return lacks, true
}

// SettleAlone is Settle for a call that stands alone by what its registers hold; over others it changes nothing, and the call
// has to be checked by all that is in force.
func SettleAlone(known, sent map[string]quorum.Value) quorum.Decide {
	settle := Settle(sent)
	return func(held map[string]quorum.Value) map[string]quorum.Value {
		if !StandsAlone(held, known, sent) {
			return nil
		}
		return settle(held)
	}
}
