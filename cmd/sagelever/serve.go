package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sagelever/httpagent"
)

// serve runs one agent within its limits until SIGTERM or SIGINT. On SIGHUP it reads its files again.
func serve(station *httpagent.Station, files fileSource, logFormat string) error {
	rules, mount, err := files.load(station)
	if err != nil {
		return err
	}
	station.Rules = rules
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signal.Ignore(syscall.SIGPIPE) // a closed log output must not terminate the agent
	limitRuntime(station.Limits)
	logWriter := newAsyncWriter(os.Stderr)
	defer logWriter.close()
	logger, err := newLogger(logWriter, logFormat)
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
	// Mounted listeners and reloading continue after SIGTERM has canceled ctx, until the agent has shut down.
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	if mount != nil {
		mount(lifetime, agent)
	}
	// serve does not wait for this goroutine: if the configuration is a pipe, reading it may block forever.
	go reloadOnHangup(lifetime, hangups, files, agent, logger)
	return agent.Run(ctx)
}

// limitRuntime sets the memory limit and GOMAXPROCS of the Go runtime to the limits of the station.
func limitRuntime(limits httpagent.Limits) {
	if megabytes := limits.MemoryMB; megabytes > 0 {
		debug.SetMemoryLimit(megabytes << 20 * 3 / 4) // the runtime does not count all memory of the process
	}
	if cores := limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(cores)))
	}
}

// reloadOnHangup reloads the files on every signal until ctx is canceled.
func reloadOnHangup(
	ctx context.Context, hangups <-chan os.Signal, files fileSource, agent *httpagent.Agent, log *slog.Logger,
) {
	for {
		select {
		case <-hangups:
			files.reload(agent, log)
		case <-ctx.Done():
			return
		}
	}
}
