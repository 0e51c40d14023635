// Package protocol reads and writes the simulator's line protocol.
//
// The simulator sends batches: a MARK line with the clock, a line for each event, and COMMIT. Each event is for one
// instance of the agent. A batch is answered with a line for each action, followed by YIELD. The parts of a line are
// separated by single spaces; "-" is an absent part. Times are in milliseconds. The package makes no decisions of the
// agent: it only converts lines to events of package api, and actions to lines.
package protocol
