// Package graceful shuts HTTP servers down without leaving a request unanswered.
package graceful

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Schedule is the time that a shutdown may take, in two parts that follow one another.
type Schedule struct {
	Drain   time.Duration // requests in flight may finish by themselves
	Answers time.Duration // the remaining ones are told that their time is over, and their handlers respond
}

// Shutdown stops servers from accepting connections and waits until their requests are answered. After schedule.Drain
// it calls endRequests, which must make the handlers of the remaining requests respond soon. It reports whether all
// requests were answered within the schedule.
func Shutdown(servers []*http.Server, schedule Schedule, endRequests func()) (complete bool) {
	ctx, cancel := context.WithTimeout(context.Background(), schedule.Drain+schedule.Answers)
	defer cancel()
	deadline := time.AfterFunc(schedule.Drain, endRequests)
	defer deadline.Stop()
	errs := make([]error, len(servers))
	var shutdowns sync.WaitGroup
	for i, server := range servers {
		shutdowns.Go(func() { errs[i] = server.Shutdown(ctx) })
	}
	shutdowns.Wait()
	for _, err := range errs {
		if err != nil {
			return false
		}
	}
	return true
}
