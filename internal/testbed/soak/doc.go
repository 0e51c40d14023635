// Package soak runs a complete load balancer as separate processes on loopback, injects sequences of overlapping faults
// ("troubles") that a seed determines, and checks the observations of clients, operators and backends.
//
// Plan and the checks in checks.go are pure functions: a seed always yields the same plan, and a finding depends only
// on the recorded observations. The other files do the I/O.
package soak
