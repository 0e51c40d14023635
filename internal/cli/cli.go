// Package cli implements the command line of the load balancer: it runs a proxy or a controller, checks a settings
// file, and sends an operator's drain commands to the controllers.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"sagelever/internal/control/server"
	"sagelever/internal/proxy"
	"sagelever/internal/settings"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2 // the command line is invalid
	exitNoCapacity = 3 // a drain was rejected because it would leave too little capacity
	exitNotDrained = 4 // requests were left at the end of the time to wait for a drain
)

// commandLine declares the sub-commands and flags of the command line and holds their parsed values.
type commandLine struct {
	parser         *flaggy.Parser
	proxy          *flaggy.Subcommand
	controller     *flaggy.Subcommand
	check          *flaggy.Subcommand
	drains         *drainCommands
	settingsPath   string
	logLevel       string
	membersPerZone int
}

func newCommandLine() *commandLine {
	line := &commandLine{
		parser:         flaggy.NewParser("loadbalancer"),
		proxy:          flaggy.NewSubcommand("proxy"),
		controller:     flaggy.NewSubcommand("controller"),
		check:          flaggy.NewSubcommand("check"),
		settingsPath:   settings.Path(),
		logLevel:       "info",
		membersPerZone: 1,
	}
	line.parser.Description = "a global load balancer: proxies carry the traffic, controllers keep what they need to know"
	line.parser.ShowHelpOnUnexpected = true
	line.parser.DisableShowVersionWithVersion()
	line.parser.String(&line.settingsPath, "c", "config",
		"the settings file (default: "+settings.PathVariable+", or "+settings.DefaultPath+")")
	line.parser.String(&line.logLevel, "l", "log", "debug, info, warn or error")
	line.proxy.Description = "carries clients' requests to backends"
	line.controller.Description = "a member of the control group: configuration, backends, leases, releases"
	line.controller.Int(&line.membersPerZone, "z", "per-zone",
		"members of the control group in each zone, as count in the deploy file")
	line.check.Description = "reads the settings file and says what is wrong with it"
	for _, command := range []*flaggy.Subcommand{line.proxy, line.controller, line.check} {
		line.parser.AttachSubcommand(command, 1)
	}
	line.drains = newDrainCommands(line.parser)
	return line
}

// Main runs the program with its arguments, without the program's name, and returns the exit code. An unexpected
// argument ends the process with exitUsage.
func Main(args []string) int {
	hangups := notifyHangup()
	line := newCommandLine()
	if err := line.parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if line.drains.used() {
		signal.Reset(syscall.SIGHUP) // lets an operator's command end with its terminal
		return line.drains.run(ctx, line.settingsPath, os.Stdout, os.Stderr)
	}
	log, err := newLogger(line.logLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer func() { _ = log.Sync() }() // fails on terminals, and the error cannot be logged
	config, err := settings.Read(line.settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	limitMemory(config.Resources)
	switch {
	case line.check.Used:
		fmt.Println("the settings are valid")
		return exitOK
	case line.proxy.Used, line.controller.Used:
		if err := line.runRole(ctx, config, hangups, log); err != nil {
			log.Error("role failed", zap.Error(err))
			return exitFailed
		}
		return exitOK
	default:
		line.parser.ShowHelp()
		return exitUsage
	}
}

// limitMemory sets the Go runtime's soft memory limit to half of the process's memory limit. The garbage collector runs
// more often when the process approaches it.
func limitMemory(resources settings.ResourceLimits) {
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(resources.MemoryMB) << 20 / 2)
	}
}

// role is a proxy or a controller.
type role interface {
	// Run serves until the context ends, and returns after an orderly shutdown.
	Run(ctx context.Context) error
	// Reload applies those settings that may change while the role runs.
	Reload(config *settings.Settings)
}

// newRole returns the role that the command line selects.
func (l *commandLine) newRole(config *settings.Settings, log *zap.Logger) (role, error) {
	if l.proxy.Used {
		return proxy.New(proxy.Options{Settings: config, Log: log}), nil
	}
	return server.New(server.Options{Settings: config, MembersPerZone: l.membersPerZone, Log: log})
}

// runRole runs the role until it has shut down. Meanwhile it reloads the settings when they change.
func (l *commandLine) runRole(
	ctx context.Context, config *settings.Settings, hangups <-chan os.Signal, log *zap.Logger,
) error {
	running, err := l.newRole(config, log)
	if err != nil {
		return err
	}
	// After SIGTERM ends ctx, settings are still reloaded until the role has shut down.
	reloadCtx, stopReload := context.WithCancel(context.Background())
	defer stopReload()
	watcher := &settingsWatcher{path: l.settingsPath, hangups: hangups, log: log, reload: running.Reload}
	// Does not wait for the watcher to return: if the settings file is a pipe, reading it may block indefinitely.
	go watcher.run(reloadCtx)
	return running.Run(ctx)
}
