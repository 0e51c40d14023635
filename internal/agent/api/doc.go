// Package api defines the interface between an adapter and the policy of one agent.
//
// The adapter passes events to the policy: client transactions, outcomes of attempts, lists of backends, the state of
// the rollout. The policy returns actions for the adapter to execute: attempts to start, final answers, timers to set,
// votes to cast. The package contains no logic.
//
// Times are relative to the start of the agent. Times before that, such as the start of an older backend, are negative.
package api
