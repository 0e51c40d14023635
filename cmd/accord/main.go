// Accord is sagelever as a whole global load balancer: its relay carries the traffic, its steward keeps what the relays
// need to know.
package main

import (
	"os"

	"sagelever/cmd/accord/seat"
)

func main() { os.Exit(seat.Main(os.Args[1:])) }
