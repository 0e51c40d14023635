// Accord is sagelever as a whole global load balancer: its relay carries the traffic, its steward keeps what the relays
// need to know.
package main

import (
	"os"

	"sagelever/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
