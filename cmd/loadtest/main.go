// Command loadtest runs the project's own experiments: agents and stand-ins on loopback, with faults injected by a seed,
// and everything that was seen checked against what clients were told.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "loadtest", Short: "Load and experiments on loopback", SilenceUsage: true}
	root.CompletionOptions.DisableDefaultCmd = true
	var messages, clients int
	var seed uint64
	var loud bool
	ws := &cobra.Command{Use: "websocket", Short: "messages over WebSocket while appliances fail, leave and fall silent", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := slog.New(slog.DiscardHandler)
			if loud {
				log = slog.New(slog.NewTextHandler(os.Stderr, nil))
			}
			f, err := runWebSocket(messages, clients, seed, log)
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), f)
			return f.check()
		}}
	ws.Flags().IntVar(&messages, "messages", 20000, "how many are asked in all")
	ws.Flags().IntVar(&clients, "clients", 16, "connections that ask them")
	ws.Flags().Uint64Var(&seed, "seed", 1, "of the messages and the faults")
	ws.Flags().BoolVar(&loud, "log", false, "show the agent's log")
	var connections int
	still := &cobra.Command{Use: "idle", Short: "what idle WebSocket connections cost", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := runIdle(connections, slog.New(slog.DiscardHandler))
			if err == nil {
				fmt.Fprintln(c.OutOrStdout(), f)
			}
			return err
		}}
	still.Flags().IntVar(&connections, "connections", 10000, "how many; each takes two descriptors")
	var many int
	fast := &cobra.Command{Use: "rate", Short: "messages a second over HTTP and WebSocket, on one core", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := runRate(many, slog.New(slog.DiscardHandler))
			if err == nil {
				fmt.Fprintln(c.OutOrStdout(), r)
			}
			return err
		}}
	fast.Flags().IntVar(&many, "messages", 20000, "how many over each, twice")
	var span time.Duration
	var persecond int
	long := &cobra.Command{Use: "soak", Short: "memory of a long run over HTTP, by quarters, while builds follow one another", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := runSoak(span, persecond, seed, slog.New(slog.DiscardHandler))
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), f)
			return f.check()
		}}
	long.Flags().DurationVar(&span, "for", 45*time.Minute, "how long")
	long.Flags().IntVar(&persecond, "rate", 200, "requests a second")
	long.Flags().Uint64Var(&seed, "seed", 1, "of the keys")
	root.AddCommand(ws, still, fast, long, drainCommand())
	root.AddCommand(hollowCommands()...)
	if root.Execute() != nil {
		os.Exit(1)
	}
}
