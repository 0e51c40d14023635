package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sagelever/internal/testbed/cluster"
)

// drainOptions are the flags of the command drain.
type drainOptions struct {
	nodes    int
	backends int
	seed     uint64
	baseline time.Duration
	load     float64
	stress   bool
	showLog  bool
	fault    string
}

func newDrainCommand() *cobra.Command {
	var options drainOptions
	command := &cobra.Command{
		Use: "drain",
		Short: "every backend of a whole system leaves and returns once under load: " +
			"nothing lost, doubled, late or cut",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runDrain(command, options)
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.nodes, "nodes", 12, "nodes that carry traffic, over six zones")
	flags.IntVar(&options.backends, "backends", 30, "backends, half of each of two services")
	flags.Uint64Var(&options.seed, "seed", 1, "of the requests")
	flags.DurationVar(&options.baseline, "calm", 8*time.Second, "how long the undisturbed part is")
	flags.Float64Var(&options.load, "load", 0.9, "share of the capacity that is used")
	flags.BoolVar(&options.stress, "storm", true,
		"then replace a service while a zone is cleared out and nodes and a controller restart")
	flags.BoolVar(&options.showLog, "log", false, "show the nodes' logs")
	flags.StringVar(&options.fault, "fault", "", "inject one: forgets, doubles, breaks, strays")
	return command
}

// cluster returns the options of the testbed. Requests take 150 ms on average, and draining backends serve for 0.8 s.
func (o drainOptions) cluster(dir string) (cluster.Options, error) {
	log := zap.NewNop()
	if o.showLog {
		var err error
		if log, err = zap.NewDevelopment(); err != nil {
			return cluster.Options{}, err
		}
	}
	options := testbedOptions(dir)
	options.Proxies = o.nodes
	options.Backends = o.backends
	options.Seed = o.seed
	options.Load = o.load
	options.MeanWork = 150 * time.Millisecond
	options.WarmUp = time.Second
	options.Logger = log
	options.Fault = cluster.Fault(o.fault)
	return options, nil
}

// testbedOptions returns the options that the experiments with a whole system share, without a log. Draining backends
// serve for 0.8 s.
func testbedOptions(dir string) cluster.Options {
	return cluster.Options{
		DrainTime:         800 * time.Millisecond,
		ShutdownGrace:     3 * time.Second,
		HeartbeatInterval: 400 * time.Millisecond,
		ArrivalBound:      300 * time.Millisecond,
		Dir:               dir,
		Logger:            zap.NewNop(),
	}
}

// runDrain runs the experiment and prints its report. It fails if a guarantee was violated.
func runDrain(command *cobra.Command, options drainOptions) error {
	dir, removeDir, err := makeTempDir()
	if err != nil {
		return err
	}
	defer removeDir()
	clusterOptions, err := options.cluster(dir)
	if err != nil {
		return err
	}
	report, err := cluster.RunDrain(context.Background(), clusterOptions, options.baseline, options.stress)
	if err != nil {
		return err
	}
	command.Println(report)
	return report.Check()
}

// makeTempDir creates a temporary directory for the data of a run and returns a function that removes it.
func makeTempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "loadtest")
	if err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil // if this fails, files remain in the system's temporary directory
}
