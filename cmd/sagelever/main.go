// Command sagelever runs one agent on sockets.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "sagelever:", err)
		os.Exit(1)
	}
}
