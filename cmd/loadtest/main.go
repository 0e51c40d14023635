// Command loadtest runs the project's own experiments on loopback: agents, proxies and controllers with fake backends,
// faults that a seed determines, and a check of what clients were answered against what backends saw.
package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// exitUsage is the exit status of a command whose flags or files are wrong.
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
