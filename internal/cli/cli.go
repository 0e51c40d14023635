// Package cli is the command line of the load balancer: it runs a proxy or a controller, checks a settings file, and
// gives an operator's drain orders to the controllers.
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
	exitUsage      = 2 // the command line is wrong
	exitNoCapacity = 3 // a drain was refused, because it would leave too little capacity
	exitNotDrained = 4 // the time to wait for a drain has passed, and requests are left
)

// commandLine is the declaration of the command line, and the values that were parsed from it.
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

// Main runs the program with the arguments after its name, and returns its exit code. An unexpected argument ends the
// process with exitUsage.
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
		signal.Reset(syscall.SIGHUP) // an operator's command ends with its terminal
		return line.drains.run(ctx, line.settingsPath, os.Stdout, os.Stderr)
	}
	log, err := newLogger(line.logLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer func() { _ = log.Sync() }() // fails on terminals, and there is nobody to tell
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

// limitMemory makes the garbage collector work harder near half of the process's memory limit.
func limitMemory(resources settings.ResourceLimits) {
	if resources.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(resources.MemoryMB) << 20 / 2)
	}
}

// role is a proxy or a controller.
type role interface {
	// Run serves until the context ends, then shuts down in order, and returns.
	Run(ctx context.Context) error
	// Reload takes over settings that may change while the role runs.
	Reload(config *settings.Settings)
}

// newRole returns the role that the command line asks for.
func (l *commandLine) newRole(config *settings.Settings, log *zap.Logger) (role, error) {
	if l.proxy.Used {
		return proxy.New(proxy.Options{Settings: config, Log: log}), nil
	}
	return server.New(server.Options{Settings: config, MembersPerZone: l.membersPerZone, Log: log})
}

// runRole runs the role until it has shut down, and reloads its settings meanwhile.
func (l *commandLine) runRole(
	ctx context.Context, config *settings.Settings, hangups <-chan os.Signal, log *zap.Logger,
) error {
	running, err := l.newRole(config, log)
	if err != nil {
		return err
	}
	// Reloading goes on after the SIGTERM that ends ctx, until the role has shut down.
	reloadCtx, stopReload := context.WithCancel(context.Background())
	defer stopReload()
	watcher := &settingsWatcher{path: l.settingsPath, hangups: hangups, log: log, reload: running.Reload}
	// Nobody waits for the watcher's end: if the settings file is a pipe, reading it may block for ever.
	go watcher.run(reloadCtx)
	return running.Run(ctx)
}
