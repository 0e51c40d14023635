// Package decide holds all decisions.
package decide

import (
	"time"

	"sagelever/agent"
)

// Balancer is one agent.
type Balancer struct{}

// New starts an agent.
func New(seed uint64, terms map[string]any) *Balancer { return &Balancer{} }

// Step takes one event and gives the actions that answer it.
func (b *Balancer) Step(now time.Duration, event agent.Event) []agent.Action { return nil }
