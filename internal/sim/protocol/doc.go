// Package protocol reads and writes the simulator's line protocol.
//
// The simulator sends batches: a line MARK with the clock, then a line for each event, then COMMIT. Each event is for
// one instance of the agent. It is answered by a line for each action and then YIELD. Parts of a line are separated by
// single blanks; "-" stands for an absent part. Times are milliseconds. The package decides nothing: it turns lines
// into the events of package api, and actions into lines.
package protocol
