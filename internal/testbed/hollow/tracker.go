package hollow

import (
	"slices"
	"sync"
	"time"
)

// PropagationTracker records when hollow proxies receive the versions of one register. It is safe for concurrent use.
type PropagationTracker struct {
	register string

	mu        sync.Mutex
	versions  map[string]uint64 // highest received version by proxy
	awaited   uint64            // version that expect waits for; 0 if none
	expected  int               // number of proxies
	reachedAt []time.Time       // when proxies received the awaited version, in order
	done      chan struct{}     // closed when all expected proxies have received it
}

func newPropagationTracker(register string) *PropagationTracker {
	return &PropagationTracker{register: register, versions: map[string]uint64{}}
}

// expect sets the awaited version. The returned channel is closed when the given number of proxies has received it.
func (t *PropagationTracker) expect(version uint64, proxies int) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaited = version
	t.expected = proxies
	t.reachedAt = nil
	t.done = make(chan struct{})
	return t.done
}

// record records that a proxy has received a version.
func (t *PropagationTracker) record(proxy string, version uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.versions[proxy]
	t.versions[proxy] = max(previous, version)
	if t.awaited == 0 || previous >= t.awaited || version < t.awaited {
		return
	}
	t.reachedAt = append(t.reachedAt, now)
	if len(t.reachedAt) == t.expected {
		close(t.done)
	}
}

// times returns when proxies received the awaited version, in order.
func (t *PropagationTracker) times() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.reachedAt)
}
