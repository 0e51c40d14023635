package main

import (
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"sagelever/internal/testbed/hollow"
)

// hollowProcessName is the hidden command by which the testbed starts its real processes.
const hollowProcessName = "hollow-process"

// newHollowCommand returns the command that measures a control group of real controllers with hollow proxies and
// backends.
func newHollowCommand() *cobra.Command {
	var options hollow.Options
	command := &cobra.Command{
		Use: "hollow",
		Short: "what a control group of real members costs, by the number of hollow agents, backends, routes and " +
			"tenants",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runHollow(command, options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.Controllers, "members", 3,
		"real members of the control group, each a process in a zone of its own, over three regions")
	flags.IntVar(&options.RealProxies, "relays", 0, "real proxies, each a process; no client calls them")
	flags.IntVar(&options.Proxies, "agents", 50, "hollow agents: they pull as proxies do, and carry no traffic")
	flags.IntVar(&options.Backends, "appliances", 100, "hollow backends: they send heartbeats")
	flags.IntVar(&options.Routes, "routes", 100, "routes of the configuration; one service for each 21")
	flags.IntVar(&options.Tenants, "tenants", 0, "tenants of the configuration")
	flags.IntVar(&options.BatchSize, "batch", 200, "items in one call that loads the configuration")
	flags.DurationVar(&options.LoadTimeout, "load-limit", 3*time.Minute, "for all these calls")
	flags.IntVar(&options.Changes, "changes", 5, "changes of one route, one after another")
	flags.DurationVar(&options.SettleTime, "settle", 3*time.Second, "after the start, before the calm part")
	flags.DurationVar(&options.SteadyTime, "for", 10*time.Second, "how long the calm part is")
	flags.DurationVar(&options.HeartbeatInterval, "pulse", 1300*time.Millisecond, "between a backend's heartbeats")
	flags.DurationVar(&options.DrainTimeout, "empty", 3*time.Second,
		"for which a leaving backend still serves: it bounds how long a pull waits")
	return command
}

// runHollow runs the experiment and prints its report, even if it was interrupted.
func runHollow(command *cobra.Command, options hollow.Options) error {
	dir, removeDir, err := makeTempDir()
	if err != nil {
		return err
	}
	defer removeDir()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	// An interrupt ends the run early, so that its processes are stopped and its files are removed.
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
	defer stop()
	options.Dir = dir
	options.Launch = hollow.Executable(executable, hollowProcessName)
	report, err := hollow.Run(ctx, options)
	command.Println(report)
	return err
}

// newHollowProcessCommand returns the hidden command that runs one real process of the testbed.
func newHollowProcessCommand() *cobra.Command {
	return &cobra.Command{
		Use:    hollowProcessName + " ROLE SETTINGS",
		Hidden: true,
		Args:   cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return hollow.Serve(args[0], args[1], os.Stdin, os.Stdout)
		},
	}
}
