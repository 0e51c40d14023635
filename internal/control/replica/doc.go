// Package replica implements one controller of the control group as a deterministic state machine. It does no I/O: its
// caller passes in the time, random numbers, messages and the results of disk writes, and carries out the Output that
// each step produces. The tests can therefore run a complete group in one process, reproducibly from a seed.
//
// A replica keeps three kinds of state:
//
//   - Registers: configuration items, releases, evacuated zones and the like. Each register is decided independently by
//     Paxos rounds among the members (package quorum). Every member accepts writes; there is neither a leader nor a
//     log.
//   - The configuration: which replicas are members. It is itself the value of a register, and its version is the epoch
//     (package membership). See reconfigure.go and takeover.go for how one configuration follows another.
//   - Items: leases of proxies, backends, release tallies and the chosen registers. Controllers and proxies replicate
//     them by pulls (package replication).
//
// Invariants:
//
//   - Persist before reply: all state that a response states or implies is on disk before the response is sent (see
//     save).
//   - Only active members vote: a replica takes part in the rounds and reads of an epoch only while it is Active,
//     that is, once it holds everything that was chosen in earlier epochs and its disk is known not to be an old copy.
//   - A closed epoch stays closed: a replica that has accepted the next configuration neither promises nor accepts
//     anything else in its epoch and answers no reads (see epochClosed). A member that takes over from this epoch
//     therefore finds every value that can ever be chosen in it.
//   - A proposal number is used once: it contains the number of processes that were started on the disk (see
//     proposerID).
//
// A Replica is not safe for concurrent use.
package replica
