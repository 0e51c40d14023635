package httpagent

import (
	"log/slog"
	"sync"
	"time"
)

// ration lets a kind of line into the log once a second and counts the others, so that a flood of what causes it
// costs little.
type ration struct {
	to     *slog.Logger
	mu     sync.Mutex
	last   time.Time
	passed int // over since the last line
}

func (r *ration) line(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.last) >= time.Second {
		r.to.Warn(event, append(pairs, "more_before", r.passed)...)
		r.last, r.passed = now, 0
		return
	}
	r.passed++
}
