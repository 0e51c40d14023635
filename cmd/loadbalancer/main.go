// Command loadbalancer runs the global load balancer. The sub-command proxy carries traffic, controller runs a member
// of the control group, and drain, undrain and drains are for operators.
package main

import (
	"os"

	"sagelever/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
