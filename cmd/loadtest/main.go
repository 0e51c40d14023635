// Command loadtest runs load tests on loopback. It runs agents, proxies and controllers with fake backends, injects
// faults that a seed determines, and compares the responses of clients with the records of backends.
package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// exitUsage is the exit status for invalid flags or files.
const exitUsage = 2

func main() {
	err := newRootCommand().Execute()
	if usage := (usageError{}); errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	if err != nil {
		os.Exit(1)
	}
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{Use: "loadtest", Short: "Load and experiments on loopback", SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(
		newWebSocketCommand(),
		newIdleCommand(),
		newRateCommand(),
		newSoakCommand(),
		newDrainCommand(),
		newRecoveryCommand(),
		newHollowCommand(),
		newHollowProcessCommand(),
	)
	return root
}

// newLogger returns a logger to standard error, or one that discards everything.
func newLogger(show bool) *slog.Logger {
	if show {
		return slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	return slog.New(slog.DiscardHandler)
}
