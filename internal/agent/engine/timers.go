package engine

import (
	"time"

	"sagelever/internal/agent/api"
)

// timer is a timer set by the policy.
type timer struct {
	at time.Duration // since the engine's start
	id api.TimerID
}

// timerHeap implements heap.Interface with the earliest timer first. Timers due at the same time fire in the order of
// their IDs.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
