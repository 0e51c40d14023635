package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sagelever/internal/testbed/cluster"
)

// drainOptions are the rig's in a calm size: runs of 150 ms, appliances that serve on for 0.8 s.
func drainOptions(nodes, backends int, seed uint64) cluster.Options {
	return cluster.Options{Proxies: nodes, Backends: backends, Seed: seed, Load: 0.9, MeanWork: 150 * time.Millisecond, DrainTime: 800 * time.Millisecond,
		WarmUp: time.Second, ShutdownGrace: 3 * time.Second, HeartbeatInterval: 400 * time.Millisecond, ArrivalBound: 300 * time.Millisecond, Logger: zap.NewNop()}
}

func drainCommand() *cobra.Command {
	var nodes, backends int
	var seed uint64
	var calm time.Duration
	var load float64
	var disrupt, showLog bool
	var fault string
	c := &cobra.Command{Use: "drain", Short: "every backend of a whole system leaves and returns once under load: nothing lost, doubled, late or cut", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			options := drainOptions(nodes, backends, seed)
			options.Load, options.Fault = load, cluster.Fault(fault)
			if showLog {
				options.Logger, _ = zap.NewDevelopment()
			}
			dir, err := os.MkdirTemp("", "loadtest")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			options.Dir = dir
			r, err := cluster.RunDrain(context.Background(), options, calm, disrupt)
			if err != nil {
				return err
			}
			c.Println(r)
			return r.Check()
		}}
	c.Flags().IntVar(&nodes, "nodes", 12, "nodes that carry traffic, over six zones")
	c.Flags().IntVar(&backends, "backends", 30, "backends, half of each of two services")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the requests")
	c.Flags().DurationVar(&calm, "calm", 8*time.Second, "how long the undisturbed part is")
	c.Flags().Float64Var(&load, "load", 0.9, "share of the room that is asked for")
	c.Flags().BoolVar(&disrupt, "storm", true, "then replace a service while a zone is cleared out and nodes and a steward restart")
	c.Flags().BoolVar(&showLog, "log", false, "show the agents' logs")
	c.Flags().StringVar(&fault, "fault", "", "plant one: forgets, doubles, breaks, strays")
	return c
}
