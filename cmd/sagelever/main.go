// Command sagelever runs one agent on sockets.
package main

import "os"

func main() {
	if err := run(os.Args[1:], os.Stdin, os.Stdout); err != nil {
		printError(os.Stderr, err)
		os.Exit(1)
	}
}
