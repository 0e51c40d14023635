// Package policy makes all decisions of one agent: which backend gets an attempt, when an attempt is retried or hedged,
// which backends are unhealthy, what share of the traffic the build on trial receives, and how the agent votes on that
// build.
//
// An adapter creates a Balancer by New, from a seed and the deployment's settings. It then calls Step with the time
// since that start and one event, and executes the returned actions in order. Events and actions are the types of
// package api. The package does no input or output, reads no clock and shares no state, so the same seed and events
// always lead to the same actions.
//
// The decisions are in four files: decide.go (state machines, heartbeat, concurrency limits), route.go (transactions and
// attempts), health.go (backends) and trial.go (the build on trial). The other files hold state and bookkeeping:
// machine.go the states and the transition tables, balancer.go the Balancer and its dispatch of events, settings.go the
// deployment's settings, and the others one kind of state each.
package policy
