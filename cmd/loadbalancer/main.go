// Command loadbalancer is the global load balancer. Its sub-command proxy carries traffic, controller takes part in the
// control group, and drain, undrain and drains are for operators.
package main

import (
	"os"

	"sagelever/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
