package config

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
)

// decideOn applies a decision to registers.
func decideOn(registers registerValues, decide quorum.DecideFunc) {
	maps.Copy(registers, decide(registers))
}

func isInvalid(err error) bool {
	_, ok := errors.Into[*InvalidError](err)
	return ok
}

// A register forgets the oldest refused change beyond maxRefusedChanges. Refused changes survive later changes of the
// register, and a build that doesn't record them finds an incomplete history.
func TestRefusedChangesAreKept(t *testing.T) {
	registers := registerValues{}
	if err := commitTenant(registers, 1, `{}`); err != nil {
		t.Fatal(err)
	}
	refused := func(i int) registerValues { return tenantChange(uint64(100+i), fmt.Sprint(i)) }
	for i := range maxRefusedChanges + 1 {
		decideOn(registers, Refuse(refused(i)))
	}
	if err := commitTenant(registers, 2, `{}`); err != nil {
		t.Fatal(err)
	}
	for i := range maxRefusedChanges + 1 {
		if got, want := isRefused(registers, refused(i)), i > 0; got != want {
			t.Errorf("refused change %d is recorded: %v, want %v", i, got, want)
		}
	}
	if past := decodeHistory(registers[tenantKey]); !past.complete || len(past.confirmed) != 1 {
		t.Errorf("the history is %+v, want one confirmed version", past)
	}
	if older := decodeConfirmed(registers[tenantKey].Annotation); older.complete || len(older.confirmed) != 0 {
		t.Errorf("an older build decodes %+v, want an empty, incomplete history", older)
	}
}

// However attempts to commit and to refuse one change, and other changes, follow each other: once the change was refused
// it has no effect and is not confirmed, unless other changes have confirmed all of its items; once it was confirmed it
// is not refused.
func TestRefusalIsFinal(t *testing.T) {
	const runs, steps = 2000, 12
	for seed := range uint64(runs) {
		rng := rand.New(rand.NewPCG(seed, 3))
		registers, change := registerValues{}, randomChange(rng)
		var refused, confirmed bool
		for range steps {
			before := maps.Clone(registers)
			var err error
			switch rng.IntN(3) {
			case 0:
				decideOn(registers, Commit(change))
				err = Outcome(registers, change)
			case 1:
				reason := &InvalidError{Err: errors.New("not valid at present")}
				decideOn(registers, Refuse(change))
				err = RefusalOutcome(registers, change, reason)
			default:
				decideOn(registers, Commit(randomChange(rng)))
				continue
			}
			switch {
			case err == nil && refused && !allConfirmed(before, change):
				t.Fatalf("seed %d: a refused change is confirmed: %v", seed, change)
			case isInvalid(err) && confirmed:
				t.Fatalf("seed %d: a confirmed change is refused: %v", seed, change)
			}
			confirmed = confirmed || err == nil
			refused = refused || isInvalid(err)
		}
	}
}
