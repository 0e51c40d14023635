package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sagelever/internal/testbed/cluster"
	"sagelever/internal/testbed/soak"
)

// usageError is the error of a command with invalid flags or an invalid plan. The command has started nothing.
type usageError struct{ error }

// errFindings is the error of a soak run with findings.
var errFindings = errors.New("soak run has findings")

// soakSystemOptions are the flags of the commands soak system, show and replay.
type soakSystemOptions struct {
	seed        uint64
	seeds       int
	duration    time.Duration
	proxies     int
	controllers int
	zones       int
	backends    int
	binary      string
	report      string
	timeline    bool
	logLevel    string
}

func newSoakCommand() *cobra.Command {
	command := &cobra.Command{Use: "soak", Short: "Long runs, of the agent or of a whole load balancer", Args: cobra.NoArgs}
	command.AddCommand(newSoakAgentCommand(), newSoakSystemCommand(), newSoakShowCommand(), newSoakReplayCommand())
	return command
}

func newSoakSystemCommand() *cobra.Command {
	var options soakSystemOptions
	command := &cobra.Command{
		Use:   "system",
		Short: "real processes on loopback under overlapping troubles of a seed: nothing acknowledged lost, nothing doubled or denied",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			failed := false
			for i := range options.seeds {
				plan := soak.GeneratePlan(options.seed+uint64(i), options.duration, options.proxies, options.backends)
				runFailed, err := options.play(command, plan)
				if err != nil {
					return err
				}
				failed = failed || runFailed
			}
			return verdict(failed)
		},
	}
	options.addPlanFlags(command)
	options.addPlayFlags(command)
	command.Flags().IntVar(&options.seeds, "seeds", 1, "how many seeds to play, one after the other")
	return command
}

func newSoakShowCommand() *cobra.Command {
	var options soakSystemOptions
	command := &cobra.Command{
		Use:   "show",
		Short: "print the plan of a seed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.check(); err != nil {
				return err
			}
			soak.GeneratePlan(options.seed, options.duration, options.proxies, options.backends).Print(command.OutOrStdout())
			return nil
		},
	}
	options.addPlanFlags(command)
	return command
}

func newSoakReplayCommand() *cobra.Command {
	var options soakSystemOptions
	command := &cobra.Command{
		Use:   "replay FILE",
		Short: "play a plan that was kept or edited",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			plan, err := soak.ReadPlan(arguments[0])
			if err != nil {
				return usageError{err}
			}
			failed, err := options.play(command, plan)
			if err != nil {
				return err
			}
			return verdict(failed)
		},
	}
	options.addPlayFlags(command)
	return command
}

// verdict returns errFindings if a run has failed.
func verdict(failed bool) error {
	if failed {
		return errFindings
	}
	return nil
}

func (o *soakSystemOptions) addPlanFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.Uint64Var(&o.seed, "seed", 1, "of the plan; one seed is one plan")
	flags.DurationVar(&o.duration, "for", 90*time.Second, "how long troubles come")
	flags.IntVar(&o.proxies, "proxies", 12, "proxies, spread over the zones")
	flags.IntVar(&o.controllers, "controllers", len(cluster.ZoneNames()), "controllers: one in each zone")
	flags.IntVar(&o.zones, "zones", len(cluster.ZoneNames()), "zones, in three regions")
	flags.IntVar(&o.backends, "backends", 12, "backends, half of each of two services")
}

func (o *soakSystemOptions) addPlayFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.binary, "binary", "target/loadbalancer", "the load balancer's program")
	flags.StringVar(&o.logLevel, "log", "", "log level of the processes; with debug, findings name the connections of a refused request")
	flags.StringVar(&o.report, "report", "", "file for the report; the plan of a run with findings is kept beside it")
	flags.BoolVar(&o.timeline, "timeline", false, "print troubles, answers and the age of the configuration by second")
}

// check returns a usageError if the flags are invalid for a plan.
func (o *soakSystemOptions) check() error {
	zones := len(cluster.ZoneNames())
	if o.controllers != zones || o.zones != zones {
		return usageError{fmt.Errorf("--controllers and --zones: %d and %d, want %d of both", o.controllers, o.zones, zones)}
	}
	plan := soak.Plan{Duration: o.duration, Proxies: o.proxies, Backends: o.backends}
	if err := plan.Check(); err != nil {
		return usageError{err}
	}
	return nil
}

// play runs a plan and prints its report. SIGINT and SIGTERM end the run early with an orderly shutdown.
func (o *soakSystemOptions) play(command *cobra.Command, plan soak.Plan) (failed bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := command.OutOrStdout()
	plan.Print(out)
	report, err := soak.Run(ctx, soak.Options{
		Plan:     plan,
		Binary:   o.binary,
		LogLevel: o.logLevel,
		Log:      func(format string, arguments ...any) { fmt.Fprintf(out, format+"\n", arguments...) },
	})
	if report == nil {
		return false, err
	}
	report.Print(out)
	if o.timeline {
		report.PrintTimeline(out)
	}
	if o.report != "" {
		err = errors.Join(err, o.save(report))
	}
	return report.Failed(), err
}

// save appends the report to the report file, and saves the plan of a run with findings.
func (o *soakSystemOptions) save(report *soak.Report) error {
	file, err := os.OpenFile(o.report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	report.Print(io.Writer(file))
	err = file.Close()
	if report.Failed() {
		err = errors.Join(err, report.SavePlan(o.report))
	}
	return err
}
