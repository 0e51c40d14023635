package httpagent

import (
	"log/slog"
	"sync"
	"time"
)

// rateLimitedLog logs at most one line a second and counts the others, so that a flood of faults does not flood the
// log.
type rateLimitedLog struct {
	logger     *slog.Logger
	mu         sync.Mutex
	lastLine   time.Time
	suppressed int // lines dropped since the last one that was logged
}

func (r *rateLimitedLog) warn(event string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.lastLine) >= time.Second {
		r.logger.Warn(event, append(fields, "more_before", r.suppressed)...)
		r.lastLine, r.suppressed = now, 0
		return
	}
	r.suppressed++
}
