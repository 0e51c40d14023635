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

// rootCommand is the whole command line. Each call makes a new one, so that nothing is left between two.
func rootCommand(in io.Reader, out io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "sagelever", Short: "Moves calls between an earlier build and a build on trial",
		SilenceUsage: true, SilenceErrors: true}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(out)
	var files fileSource
	withFileFlags := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVarP(&files.configPath, "config", "c", os.Getenv("GW_CONFIG"), "the configuration, a JSON file; GW_CONFIG if not given")
		c.Flags().StringVar(&files.operatorPath, "operator", os.Getenv("GW_OPERATOR"), "the operator's own file, an INI; none if not given")
		return c
	}
	var logFormat string
	serveCommand := withFileFlags(&cobra.Command{Use: "serve", Short: "run one agent until SIGTERM; SIGHUP reads its files again", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			station, err := files.readStation()
			if err != nil {
				return err
			}
			return serve(station, files, logFormat)
		}})
	serveCommand.Flags().StringVar(&logFormat, "log-format", "text", "text (key=value) or json")
	checkCommand := withFileFlags(&cobra.Command{Use: "check", Short: "read the files and say what is wrong with them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			station, err := files.readStation()
			if err != nil {
				return err
			}
			if _, err := files.rules(station); err != nil {
				return err
			}
			for _, file := range []string{files.configPath, files.operatorPath} {
				if file != "" {
					fmt.Fprintf(c.OutOrStdout(), "%s: nothing wrong\n", file)
				}
			}
			return nil
		}})
	root.AddCommand(ruleCommands(withFileFlags, &files)...)
	root.AddCommand(serveCommand, checkCommand, &cobra.Command{Use: "version", Short: "print the version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), "sagelever", version, runtime.Version())
		}})
	return root
}

// run carries out one command line.
func run(args []string, in io.Reader, out io.Writer) error {
	root := rootCommand(in, out)
	root.SetArgs(args)
	return root.Execute()
}

// fileSource is where an agent's files are.
type fileSource struct{ configPath, operatorPath string }

func (s fileSource) readStation() (*httpagent.Station, error) {
	if s.configPath == "" {
		return nil, errors.New("no configuration: give --config FILE or set GW_CONFIG")
	}
	return httpagent.ReadStation(s.configPath)
}

// mountFunc puts other fronts on an agent, until a context ends.
type mountFunc func(context.Context, *httpagent.Agent)

// rules are those of the operator's file.
func (s fileSource) rules(station *httpagent.Station) (match.Judge, error) {
	judge, _, err := s.load(station)
	return judge, err
}

// serve runs one agent inside its limits until SIGTERM or SIGINT; at SIGHUP it reads its files again.
func serve(station *httpagent.Station, files fileSource, format string) error {
	rules, mount, err := files.load(station)
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
	logWriter := newAsyncWriter(os.Stderr)
	defer logWriter.flush()
	logger, err := newLogger(logWriter, format)
	if err != nil {
		return err
	}
	station.Log = logger
	if maxSockets := station.Limits.Sockets; maxSockets > 0 {
		if err := growDescriptorTable(maxSockets); err != nil {
			logger.Warn("descriptors_not_grown", "error", err)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	agent := httpagent.New(station)
	mountCtx, stopMounts := context.WithCancel(context.Background())
	defer stopMounts()
	if mount != nil {
		mount(mountCtx, agent)
	}
	go func() {
		for range hangups {
			files.reload(agent, logger)
		}
	}()
	return agent.Run(ctx)
}

// reload reads the files again; with one that is wrong the agent goes on as before in what that file says.
func (s fileSource) reload(agent *httpagent.Agent, log *slog.Logger) {
	station, err := s.readStation()
	if err != nil {
		log.Error("reload_failed", "file", s.configPath, "error", err)
		return
	}
	agent.Reload(station)
	if s.operatorPath == "" {
		return
	}
	if station.Rules, err = s.rules(station); err != nil {
		log.Error("reload_failed", "file", s.operatorPath, "error", err)
		return
	}
	agent.SetRules(station.Rules)
}
