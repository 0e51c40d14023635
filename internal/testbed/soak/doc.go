// Package soak runs a whole load balancer as real processes on loopback while troubles that a seed determines come in
// series and overlap, and checks what clients, operators and backends saw.
//
// Plan and the rules of judge.go are pure: one seed is one plan, and a finding follows from the records alone. The rest
// does the I/O.
package soak
