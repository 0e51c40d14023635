package main

import (
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sagelever/internal/testbed/cluster"
	"sagelever/internal/testbed/recovery"
)

// recoveryOptions are the flags of the command recovery.
type recoveryOptions struct {
	binary  string
	proxies int
	routes  []int
	repeat  int
}

func newRecoveryCommand() *cobra.Command {
	var options recoveryOptions
	command := &cobra.Command{
		Use:   "recovery",
		Short: "how long proxies lack an acknowledged change after the acknowledging controller was killed",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runRecovery(command, options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.binary, "binary", "target/loadbalancer", "the load balancer's program")
	flags.IntVar(&options.proxies, "proxies", 6, "proxies, spread over the zones")
	flags.IntSliceVar(&options.routes, "routes", []int{1, 10, 100, 1000}, "routes of a change")
	flags.IntVar(&options.repeat, "repeat", 3, "measurements for each number of routes")
	return command
}

// runRecovery runs the measurements and prints one line for each.
func runRecovery(command *cobra.Command, options recoveryOptions) error {
	dir, removeDir, err := makeTempDir()
	if err != nil {
		return err
	}
	defer removeDir()
	for _, routes := range options.routes {
		for i := range options.repeat {
			runDir := filepath.Join(dir, strconv.Itoa(routes), strconv.Itoa(i))
			if err := os.MkdirAll(runDir, 0o700); err != nil {
				return err
			}
			measured, err := recovery.Measure(command.Context(), options.cluster(runDir), routes)
			if err != nil {
				return err
			}
			command.Printf("%4d routes: acknowledged after %v, known to all proxies %v after the kill\n",
				measured.Routes, measured.Acknowledged.Round(time.Millisecond), measured.Known.Round(time.Millisecond))
		}
	}
	return nil
}

// cluster returns the options of the testbed: nodes are processes.
func (o recoveryOptions) cluster(dir string) cluster.Options {
	options := testbedOptions(dir)
	options.Proxies = o.proxies
	options.Backends = 1
	options.Seed = 1
	options.MeanWork = time.Millisecond
	options.WarmUp = time.Millisecond
	options.Binary = o.binary
	return options
}
