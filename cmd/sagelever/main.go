// Command sagelever runs one agent, which shifts calls between the builds of a service, and checks its configuration.
package main

import "os"

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		printError(os.Stderr, err)
		os.Exit(1)
	}
}
