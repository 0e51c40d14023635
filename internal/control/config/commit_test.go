package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// rules are what decides on calls; a planted fault takes the place of one.
type rules struct {
	settle  func(sent map[string]quorum.Value) quorum.DecideFunc
	check   func(x *Index, sent map[string]quorum.Value) error
	outcome func(chosen, sent map[string]quorum.Value) error
	alone   func(held, sent map[string]quorum.Value) bool
}

func currentRules() rules {
	return rules{Commit, (*Index).Check, Outcome, func(held, sent map[string]quorum.Value) bool { return IsSelfContained(held, held, sent) }}
}

// operatorModel is a configuration and what operators have been told of it.
type operatorModel struct {
	rules
	held      map[string]quorum.Value
	confirmed map[string]string // by item and version: the content
	taken     []map[string]quorum.Value
	attempted map[string]bool // calls of which an attempt was broken off
	services  map[string]bool // that were in force, or confirmed, at any time
}

func newOperatorModel(r rules) *operatorModel {
	return &operatorModel{rules: r, held: map[string]quorum.Value{}, confirmed: map[string]string{}, attempted: map[string]bool{},
		services: map[string]bool{}}
}

func contentText(v quorum.Value) string { return fmt.Sprint(v.Deleted, " ", v.Body) }

// order sends a call and checks its answer against all that was told before; attempt is the share of its items that a
// broken-off attempt leaves in force, none where it is nil.
func (d *operatorModel) order(sent map[string]quorum.Value, attempt func(key string) bool) (wrong string) {
	index := NewIndex()
	index.Update(d.held)
	before := maps.Clone(d.held)
	var err error
	if !d.alone(d.held, sent) {
		err = d.check(index, sent)
	}
	if err == nil {
		decided := d.settle(sent)(d.held)
		if attempt != nil {
			maps.DeleteFunc(decided, func(key string, _ quorum.Value) bool { return !attempt(key) })
			maps.Copy(d.held, decided)
			d.attempted[ChangeText(sent)] = true
			d.noteServices(sent) // the call was valid: a route of it may stand before its service does
			return ""
		}
		maps.Copy(d.held, decided)
		err = d.outcome(d.held, sent)
	}
	d.noteServices(d.held)
	if err == nil {
		d.noteServices(sent)
		return d.wasConfirmed(sent)
	}
	return d.wasNot(before, sent, err)
}

func (d *operatorModel) noteServices(values map[string]quorum.Value) {
	for key, v := range values {
		if kind, name, _ := SplitKey(key); kind == KindServices && !v.Deleted {
			d.services[name] = true
		}
	}
}

func (d *operatorModel) wasConfirmed(sent map[string]quorum.Value) string {
	for key, v := range sent {
		at := fmt.Sprint(key, " ", v.Version)
		if was, known := d.confirmed[at]; known && was != contentText(v) {
			return fmt.Sprintf("two contents of %s are confirmed: %s and %s", at, was, contentText(v))
		}
		d.confirmed[at] = contentText(v)
		held := d.held[key]
		if held.Version < v.Version || held.Version == v.Version && contentText(held) != contentText(v) {
			return fmt.Sprintf("%s is confirmed and not in force: %+v", at, held)
		}
		if kind, name, _ := SplitKey(key); kind == KindRoutes && !v.Deleted {
			r, _ := decodeRoute(name, v)
			for _, s := range r.serviceNames() {
				if !d.services[s] {
					return fmt.Sprintf("%s names %s, which never was, and is confirmed", at, s)
				}
			}
		}
	}
	d.taken = append(d.taken, sent)
	if len(d.attempted) > 0 {
		return "" // a part of a call may stand, until it is sent again
	}
	return d.unsound()
}

// unsound tells what is amiss with the configuration in force.
func (d *operatorModel) unsound() string {
	places := map[string]bool{}
	for key, v := range d.held {
		kind, name, _ := SplitKey(key)
		if kind != KindRoutes || v.Deleted {
			continue
		}
		r, _ := decodeRoute(name, v)
		if places[r.matchKey()] {
			return "two routes share host and prefix"
		}
		places[r.matchKey()] = true
		for _, s := range r.serviceNames() {
			if held := d.held[Key(KindServices, s)]; held.Version == 0 || held.Deleted {
				return name + " has no service"
			}
		}
	}
	return ""
}

func (d *operatorModel) wasNot(before, sent map[string]quorum.Value, err error) string {
	if _, unclear := errors.Into[*IndeterminateError](err); unclear {
		return ""
	}
	for _, was := range d.taken {
		if ChangeText(was) == ChangeText(sent) {
			return "what was confirmed is refused: " + err.Error()
		}
	}
	for key, v := range sent {
		if contentText(before[key]) != contentText(d.held[key]) || before[key].Version != d.held[key].Version {
			return "a refused call has changed something"
		}
		at := fmt.Sprint(key, " ", v.Version)
		if statusOf(d.held[key], v) == statusConfirmed && d.attempted[ChangeText(sent)] && d.confirmed[at] == "" {
			h := decodeHistory(d.held[key])
			if d.held[key].Version == v.Version && h.changeDigest == changeDigest(sent) {
				return "a refused call stands in part: " + at
			}
		}
	}
	return ""
}

// randomChange draws a call of one to three items, among few names, versions and contents.
func randomChange(rng *rand.Rand) map[string]quorum.Value {
	sent := map[string]quorum.Value{}
	version := 1 + rng.Uint64N(14)
	for range 1 + rng.IntN(3) {
		v := quorum.Value{Version: version, Deleted: rng.IntN(6) == 0}
		if rng.IntN(2) == 0 {
			if !v.Deleted {
				v.Body = fmt.Sprintf(`{"checkPath":"/%d"}`, rng.IntN(2))
			}
			sent[Key(KindServices, fmt.Sprint("s", rng.IntN(2)))] = v
			continue
		}
		if !v.Deleted {
			service := []string{"s0", "s1", "s0", "s1", "never"}[rng.IntN(5)]
			v.Body = fmt.Sprintf(`{"host":"h","pathStart":"/%d/","kind":"harmless","giveUp":"5s","service":"%s"}`, rng.IntN(4), service)
		}
		sent[Key(KindRoutes, fmt.Sprint("r", rng.IntN(2)))] = v
	}
	return sent
}

// playOperators has operators send calls, send them again, and have attempts broken off, by a seed.
func playOperators(seed uint64, r rules) (wrong string) {
	rng := rand.New(rand.NewPCG(seed, 7))
	d := newOperatorModel(r)
	var sentLast []map[string]quorum.Value
	for range 60 {
		sent := randomChange(rng)
		switch {
		case len(d.taken) > 0 && rng.IntN(4) == 0:
			sent = d.taken[rng.IntN(len(d.taken))]
		case len(sentLast) > 0 && rng.IntN(4) == 0:
			sent = sentLast[rng.IntN(len(sentLast))]
		}
		sentLast = append(sentLast, sent)
		var attempt func(string) bool
		if rng.IntN(6) == 0 {
			first, part := slices.Min(slices.Collect(maps.Keys(sent))), rng.IntN(2) == 0
			attempt = func(key string) bool { return (key == first) == part }
		}
		if wrong := d.order(sent, attempt); wrong != "" {
			return wrong
		}
	}
	return ""
}

// Whatever operators send, in whatever order, however often, and whichever attempts are broken off: of two contents under one
// version one is confirmed, what was confirmed is never refused, what is confirmed is in force or passed by, what was refused
// changes nothing, and no route is confirmed whose service never was.
func TestCommitSequences(t *testing.T) {
	runs, _ := strconv.ParseUint(os.Getenv("ORDERS_RUNS"), 10, 64) // for long hunts
	for seed := range max(runs, 500) {
		if wrong := playOperators(seed, currentRules()); wrong != "" {
			t.Fatalf("seed %d: %s", seed, wrong)
		}
	}
}

// The checks find each fault that is planted.
func TestCommitSequencesFindFaults(t *testing.T) {
	each := func(change func(sent quorum.Value) quorum.UpdateFunc) func(map[string]quorum.Value) quorum.DecideFunc {
		return func(sent map[string]quorum.Value) quorum.DecideFunc {
			return func(held map[string]quorum.Value) map[string]quorum.Value {
				out := map[string]quorum.Value{}
				for key, v := range sent {
					out[key] = change(v)(held[key])
				}
				return out
			}
		}
	}
	for name, x := range map[string]struct {
		by    string
		plant func(r *rules)
	}{
		"the highest prevails in silence": {"two contents", func(r *rules) {
			r.settle = each(KeepHighestVersion)
			r.outcome = func(_, _ map[string]quorum.Value) error { return nil }
		}},
		"a conflict stops only its own item": {"changed something", func(r *rules) {
			r.settle = each(func(sent quorum.Value) quorum.UpdateFunc {
				return func(held quorum.Value) quorum.Value {
					if statusOf(held, sent) == statusNewer {
						return supersede(held, sent, 0)
					}
					return held
				}
			})
		}},
		"histories are not kept": {"two contents", func(r *rules) {
			r.settle = each(KeepHighestVersion)
			r.outcome = func(chosen, sent map[string]quorum.Value) error {
				for key, v := range sent {
					if held := chosen[key]; held.Version == v.Version && statusOf(held, v) == statusConflict {
						return &ConflictError{}
					}
				}
				return nil
			}
		}},
		"what is passed by is not remembered": {"two contents", func(r *rules) {
			r.settle = func(sent map[string]quorum.Value) quorum.DecideFunc {
				decide := Commit(sent)
				return func(held map[string]quorum.Value) map[string]quorum.Value {
					out := decide(held)
					for key, v := range out {
						if v.Version == held[key].Version {
							out[key] = held[key]
						}
					}
					return out
				}
			}
			r.outcome = func(chosen, sent map[string]quorum.Value) error {
				for key, v := range sent {
					if s := statusOf(chosen[key], v); s != statusConfirmed && s != statusSuperseded {
						return Outcome(chosen, sent)
					}
				}
				return nil
			}
		}},
		"what was taken is judged by today's state": {"confirmed is refused", func(r *rules) {
			r.alone = func(_, _ map[string]quorum.Value) bool { return false }
			r.check = func(x *Index, sent map[string]quorum.Value) error {
				for key, v := range sent {
					kind, name, _ := SplitKey(key)
					if kind != KindRoutes || v.Deleted {
						continue
					}
					route, _ := decodeRoute(name, v)
					for _, s := range route.serviceNames() {
						if !x.serviceAvailable(sent, s, statusNewer) {
							return &InvalidError{errors.New("unknown service")}
						}
					}
				}
				return x.Check(sent)
			}
		}},
		"places are not looked at": {"share host", func(r *rules) {
			r.check = func(x *Index, sent map[string]quorum.Value) error {
				x.routesByMatchKey = map[string]map[string]bool{}
				return x.Check(sent)
			}
		}},
		"who uses a service is not looked at": {"has no service", func(r *rules) {
			r.check = func(x *Index, sent map[string]quorum.Value) error {
				x.routesByService = map[string]map[string]bool{}
				return x.Check(sent)
			}
		}},
		"a route that moves is taken for one that stays": {"share host", func(r *rules) {
			r.alone = func(held, sent map[string]quorum.Value) bool {
				for key, v := range sent {
					kind, name, _ := SplitKey(key)
					if kind != KindRoutes || v.Deleted || statusOf(held[key], v) != statusNewer || held[key].Version == 0 || held[key].Deleted {
						return false
					}
					was, _ := decodeRoute(name, held[key])
					if next, _ := decodeRoute(name, v); next.Service != was.Service {
						return false
					}
				}
				return true
			}
		}},
		"what is passed by is not judged": {"never was", func(r *rules) {
			r.check = func(x *Index, sent map[string]quorum.Value) error {
				for key, v := range sent {
					if statusOf(x.current[key], v) == statusSuperseded {
						return nil
					}
				}
				return x.Check(sent)
			}
		}},
		"a broken-off attempt is not known": {"stands in part", func(r *rules) {
			r.outcome = func(chosen, sent map[string]quorum.Value) error {
				err := Outcome(chosen, sent)
				if err != nil && partlyCommitted(chosen, sent) {
					return &ConflictError{}
				}
				return err
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := currentRules()
			x.plant(&r)
			for seed := range uint64(3000) {
				if wrong := playOperators(seed, r); wrong != "" {
					if t.Logf("found by seed %d: %s", seed, wrong); !strings.Contains(wrong, x.by) {
						t.Error("found by another check than the one that should")
					}
					return
				}
			}
			t.Error("not found in 3000 runs")
		})
	}
}
