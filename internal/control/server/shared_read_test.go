package server

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"sagelever/internal/control/quorum"
	"sagelever/internal/control/replica"
)

// Callers that arrive while a read is in progress share the next read, which begins after their calls: a hundred
// callers cost two reads, and each gets all values that were written before its call.
func TestSharedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readTime, callers = 100 * time.Millisecond, 100
		var mu sync.Mutex
		reads, version := 0, uint64(1)
		read := func(context.Context) (map[string]quorum.Value, error) {
			mu.Lock()
			reads++
			seen := version // as of the beginning of the read
			mu.Unlock()
			time.Sleep(readTime) // on the simulated clock
			return map[string]quorum.Value{"k": {Version: seen}}, nil
		}
		group := &sharedRead{}
		var done sync.WaitGroup
		ask := func(least uint64) {
			done.Go(func() {
				values, err := group.do(t.Context(), read)
				if err != nil || values["k"].Version < least {
					t.Errorf("version %d, %v, want at least %d", values["k"].Version, err, least)
				}
			})
		}
		ask(1)
		time.Sleep(readTime / 2) // on the simulated clock
		mu.Lock()
		version = 2
		mu.Unlock()
		for range callers {
			ask(2)
		}
		done.Wait()
		if reads != 2 {
			t.Errorf("%d reads, want 2", reads)
		}
		ask(2)
		done.Wait()
		if reads != 3 {
			t.Errorf("%d reads, want one more after the others have ended", reads)
		}
	})
}

// A caller whose context ends does not wait for the read, which continues for the other callers.
func TestSharedReadCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &sharedRead{}
		read := func(context.Context) (map[string]quorum.Value, error) {
			time.Sleep(time.Second) // on the simulated clock
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		var patient sync.WaitGroup
		patient.Go(func() {
			if _, err := group.do(t.Context(), read); err != nil {
				t.Error(err)
			}
		})
		if _, err := group.do(ctx, read); !errors.Is(err, replica.ErrTooFewResponses) {
			t.Errorf("after the end of the context: %v", err)
		}
		patient.Wait()
		time.Sleep(2 * time.Second) // on the simulated clock: until the last read has ended
	})
}
