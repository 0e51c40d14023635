package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"sagelever/httpagent"
	"sagelever/match"
)

const version = "0.1.0"

// command is the whole command line. Each call makes a new one, so that nothing is left between two.
func command(in io.Reader, out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "sagelever", Short: "Moves calls between an earlier build and a build on trial",
		SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(out)
	var from source
	named := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVarP(&from.config, "config", "c", os.Getenv("GW_CONFIG"), "the configuration, a JSON file; GW_CONFIG if not given")
		c.Flags().StringVar(&from.operator, "operator", os.Getenv("GW_OPERATOR"), "the operator's own file, an INI; none if not given")
		return c
	}
	var lines string
	serving := named(&cobra.Command{Use: "serve", Short: "run one agent until SIGTERM; SIGHUP reads its files again", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			station, err := from.station()
			if err != nil {
				return err
			}
			return serve(station, from, lines)
		}})
	serving.Flags().StringVar(&lines, "log-format", "text", "text (key=value) or json")
	checking := named(&cobra.Command{Use: "check", Short: "read the files and say what is wrong with them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			station, err := from.station()
			if err != nil {
				return err
			}
			if _, err := from.rules(station); err != nil {
				return err
			}
			for _, file := range []string{from.config, from.operator} {
				if file != "" {
					fmt.Fprintf(c.OutOrStdout(), "%s: nothing wrong\n", file)
				}
			}
			return nil
		}})
	root.AddCommand(withRules(named, &from)...)
	root.AddCommand(serving, checking, &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "sagelever", version, runtime.Version())
		}})
	return root
}

// run carries out one command line.
func run(args []string, in io.Reader, out io.Writer) error {
	root := command(in, out)
	root.SetArgs(args)
	return root.Execute()
}

// source is where an agent's files are.
type source struct{ config, operator string }

func (s source) station() (*httpagent.Station, error) {
	if s.config == "" {
		return nil, errors.New("no configuration: give --config FILE or set GW_CONFIG")
	}
	return httpagent.ReadStation(s.config)
}

// mounting puts other fronts on an agent, until a context ends.
type mounting func(context.Context, *httpagent.Agent)

// rules are those of the operator's file.
func (s source) rules(station *httpagent.Station) (match.Judge, error) {
	judge, _, err := s.load(station)
	return judge, err
}

// serve runs one agent inside its limits until SIGTERM or SIGINT; at SIGHUP it reads its files again.
func serve(station *httpagent.Station, from source, format string) error {
	rules, mount, err := from.load(station)
	if err != nil {
		return err
	}
	station.Rules = rules
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if mb := station.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(mb << 20 * 3 / 4) // the rest is for what the runtime does not count
	}
	if cores := station.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more ends no agent
	lines := startLog(os.Stderr)
	defer lines.flush()
	logger, err := newLogger(lines, format)
	if err != nil {
		return err
	}
	station.Log = logger
	if most := station.Limits.Sockets; most > 0 {
		if err := growDescriptors(most); err != nil {
			logger.Warn("descriptors_not_grown", "error", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	agent := httpagent.New(station)
	life, end := context.WithCancel(context.Background())
	defer end()
	if mount != nil {
		mount(life, agent)
	}
	go func() {
		for range hangups {
			from.reload(agent, logger)
		}
	}()
	return agent.Run(ctx)
}

// reload reads the files again; with one that is wrong the agent goes on as before in what that file says.
func (s source) reload(agent *httpagent.Agent, log *slog.Logger) {
	station, err := s.station()
	if err != nil {
		log.Error("reload_failed", "file", s.config, "error", err)
		return
	}
	agent.Reload(station)
	if s.operator == "" {
		return
	}
	if station.Rules, err = s.rules(station); err != nil {
		log.Error("reload_failed", "file", s.operator, "error", err)
		return
	}
	agent.SetRules(station.Rules)
}
