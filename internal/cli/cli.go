// Package cli is the command line of loadbalancer.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"sagelever/internal/control/server"
	"sagelever/internal/proxy"
	"sagelever/internal/settings"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitNoCapacity = 3 // a removal was refused: too little room would be left
	exitNotDrained = 4 // it was waited for, and something is left
)

// Main runs the program and gives its exit code.
func Main(args []string) int {
	settingsPath, perZone, level := settings.Path(), 1, "info"
	parser := flaggy.NewParser("loadbalancer")
	parser.Description = "a global load balancer: proxies carry the traffic, controllers keep what they need to know"
	parser.ShowHelpOnUnexpected = true
	parser.DisableShowVersionWithVersion()
	parser.String(&settingsPath, "c", "config", "the settings file (default: SAGELEVER_CONFIG, or "+settings.DefaultPath+")")
	parser.String(&level, "l", "log", "debug, info, warn or error")
	proxyCommand := flaggy.NewSubcommand("proxy")
	proxyCommand.Description = "carries clients' requests to backends"
	controllerCommand := flaggy.NewSubcommand("controller")
	controllerCommand.Description = "a member of the control group: configuration, backends, leases, releases"
	controllerCommand.Int(&perZone, "z", "per-zone", "members of the control group in each zone, as count in the deploy file")
	checkCommand := flaggy.NewSubcommand("check")
	checkCommand.Description = "reads the settings file and says what is wrong with it"
	for _, c := range []*flaggy.Subcommand{proxyCommand, controllerCommand, checkCommand} {
		parser.AttachSubcommand(c, 1)
	}
	drains := newDrainCommands(parser)
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if drains.used() {
		return drains.run(ctx, settingsPath, os.Stdout, os.Stderr)
	}
	hangups := notifyHangup()
	log, err := newLogger(level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	defer log.Sync()
	config, err := settings.Read(settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if config.Resources.RAMMb > 0 { // the collector works harder near half of the limit, long before it is reached
		debug.SetMemoryLimit(int64(config.Resources.RAMMb) << 20 / 2)
	}
	reloadCtx, stopReload := context.WithCancel(context.Background()) // ends once the role has, a while after the SIGTERM
	defer stopReload()
	switch {
	case checkCommand.Used:
		fmt.Println("the settings are sound")
		return exitOK
	case proxyCommand.Used:
		r := proxy.New(proxy.Options{Settings: config, Log: log})
		go watchSettings(reloadCtx, hangups, settingsPath, log, r.Reload)
		err = r.Run(ctx)
	case controllerCommand.Used:
		var s *server.Server
		if s, err = server.New(server.Options{Settings: config, MembersPerZone: perZone, Log: log}); err == nil {
			go watchSettings(reloadCtx, hangups, settingsPath, log, s.Reload)
			err = s.Run(ctx)
		}
	default:
		parser.ShowHelp()
		return exitUsage
	}
	if err != nil {
		log.Error("ended", zap.Error(err))
		return exitFailed
	}
	return exitOK
}

// settingsPollInterval is how often the settings file is looked at, as it may change without a signal: as long as contacts may lag.
const settingsPollInterval = 3 * time.Second

// notifyHangup takes SIGHUP over for the rest of the process's life. It is never given back: by default the signal ends the
// process, and the platform may send it before the settings are read and while the process leaves after a SIGTERM.
func notifyHangup() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reads the settings again at SIGHUP, and when the file has changed. One that can't be read changes nothing.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, log *zap.Logger, reload func(*settings.Settings)) {
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	seen := fileFingerprint(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
			if fileFingerprint(path) == seen {
				continue
			}
		}
		seen = fileFingerprint(path)
		s, err := settings.Read(path)
		if err != nil {
			log.Warn("the settings stay as they are", zap.Error(err))
			continue
		}
		reload(s)
		log.Info("settings read again")
	}
}

// fileFingerprint tells one state of a file from another.
func fileFingerprint(path string) string {
	st, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(st.Size(), st.ModTime().UnixNano())
}

func newLogger(level string) (*zap.Logger, error) {
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level, c.Encoding, c.DisableCaller, c.DisableStacktrace, c.Sampling = l, "console", true, true, nil
	c.OutputPaths, c.ErrorOutputPaths = []string{"stderr"}, []string{"stderr"}
	c.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	c.EncoderConfig.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	return c.Build()
}
