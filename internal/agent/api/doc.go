// Package api is the interface between an adapter and the policy of one agent.
//
// The adapter tells the policy what has happened by events: transactions of clients, outcomes of attempts, lists of
// backends, the state of the rollout. The policy answers by actions that the adapter carries out: attempts to start,
// final answers to give, timers to set, votes to cast. Nothing here decides anything.
//
// Times are counted from the start of the agent, so those of what was there before are negative.
package api
