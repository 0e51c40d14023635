package httpagent

import (
	"log/slog"
	"sync"
	"time"
)

// rateLimitedLog lets a kind of line into the log once a second and counts the others, so that a flood of what causes it
// costs little.
type rateLimitedLog struct {
	logger     *slog.Logger
	mu         sync.Mutex
	lastLine   time.Time
	suppressed int // over since the last line
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
