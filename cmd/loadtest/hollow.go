package main

import (
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"sagelever/internal/testbed/hollow"
)

// hollowProcessCommand is the hidden command that the testbed starts its real processes with.
const hollowProcessCommand = "hollow-process"

// hollowCommands are the testbed of hollow agents, and what it starts.
func hollowCommands() []*cobra.Command {
	options := hollow.Options{}
	hollowCommand := &cobra.Command{Use: "hollow", Short: "what a core of real members costs, by the number of hollow agents, appliances, routes and tenants", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "loadtest")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			self, err := os.Executable()
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
			defer stop() // an interrupted run ends its processes and removes its files too
			options.Dir, options.Launch = dir, hollow.Executable(self, hollowProcessCommand)
			r, err := hollow.Run(ctx, options)
			c.Println(r)
			return err
		}}
	flags := hollowCommand.Flags()
	flags.IntVar(&options.Controllers, "members", 3, "real members of the core, each a process in a zone of its own, over three regions")
	flags.IntVar(&options.RealProxies, "relays", 0, "real relays, each a process; no client calls them")
	flags.IntVar(&options.Proxies, "agents", 50, "hollow agents: they pull as relays do, and carry no traffic")
	flags.IntVar(&options.Backends, "appliances", 100, "hollow appliances: they pulse")
	flags.IntVar(&options.Routes, "routes", 100, "routes of the configuration; one service for each 21")
	flags.IntVar(&options.Tenants, "tenants", 0, "tenants of the configuration")
	flags.IntVar(&options.BatchSize, "batch", 200, "items in one call that loads the configuration")
	flags.DurationVar(&options.LoadTimeout, "load-limit", 3*time.Minute, "for all these calls")
	flags.IntVar(&options.Changes, "changes", 5, "changes of one route, one after another")
	flags.DurationVar(&options.SettleTime, "settle", 3*time.Second, "after the start, before the calm part")
	flags.DurationVar(&options.SteadyTime, "for", 10*time.Second, "how long the calm part is")
	flags.DurationVar(&options.HeartbeatInterval, "pulse", 1300*time.Millisecond, "between an appliance's pulses")
	flags.DurationVar(&options.DrainTimeout, "empty", 3*time.Second, "for which an appliance serves on that leaves: it bounds a pull's wait")
	process := &cobra.Command{Use: hollowProcessCommand + " ROLE SETTINGS", Hidden: true, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return hollow.Serve(args[0], args[1], os.Stdin, os.Stdout)
		}}
	return []*cobra.Command{hollowCommand, process}
}
