// Package seat is the command line of accord.
package seat

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

	"sagelever/boot"
	"sagelever/relay"
	"sagelever/steward"
)

// Exit codes.
const (
	fine    = 0
	failed  = 1
	misused = 2
	noRoom  = 3 // a removal was refused: too little room would be left
	remains = 4 // it was waited for, and something is left
)

// Main runs the program and gives its exit code.
func Main(args []string) int {
	path, perZone, level := boot.Path(), 1, "info"
	p := flaggy.NewParser("accord")
	p.Description = "a global load balancer: relays carry the traffic, stewards keep what they need to know"
	p.ShowHelpOnUnexpected = true
	p.DisableShowVersionWithVersion()
	p.String(&path, "c", "config", "the settings file (default: SAGELEVER_CONFIG, or "+boot.File+")")
	p.String(&level, "l", "log", "debug, info, warn or error")
	relayCmd := flaggy.NewSubcommand("relay")
	relayCmd.Description = "carries clients' requests to appliances"
	stewardCmd := flaggy.NewSubcommand("steward")
	stewardCmd.Description = "a member of the core: configuration, appliances, leases, rollouts"
	stewardCmd.Int(&perZone, "z", "per-zone", "members of the core in each zone, as count in the deploy file")
	checkCmd := flaggy.NewSubcommand("check")
	checkCmd.Description = "reads the settings file and says what is wrong with it"
	for _, c := range []*flaggy.Subcommand{relayCmd, stewardCmd, checkCmd} {
		p.AttachSubcommand(c, 1)
	}
	drains := newDrainWords(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return misused
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if drains.used() {
		return drains.run(ctx, path, os.Stdout, os.Stderr)
	}
	hangups := hangups()
	log, err := logger(level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return misused
	}
	defer log.Sync()
	settings, err := boot.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if settings.Limits.RAMMb > 0 { // the collector works harder near half of the limit, long before it is reached
		debug.SetMemoryLimit(int64(settings.Limits.RAMMb) << 20 / 2)
	}
	life, end := context.WithCancel(context.Background()) // ends once the role has, a while after the SIGTERM
	defer end()
	switch {
	case checkCmd.Used:
		fmt.Println("the settings are sound")
		return fine
	case relayCmd.Used:
		r := relay.New(relay.Options{Settings: settings, Log: log})
		go onChange(life, hangups, path, log, r.Reload)
		err = r.Run(ctx)
	case stewardCmd.Used:
		var s *steward.Steward
		if s, err = steward.New(steward.Options{Settings: settings, PerZone: perZone, Log: log}); err == nil {
			go onChange(life, hangups, path, log, s.Reload)
			err = s.Run(ctx)
		}
	default:
		p.ShowHelp()
		return misused
	}
	if err != nil {
		log.Error("ended", zap.Error(err))
		return failed
	}
	return fine
}

// look is how often the settings file is looked at, as it may change without a signal: as long as contacts may lag.
const look = 3 * time.Second

// hangups takes SIGHUP over for the rest of the process's life. It is never given back: by default the signal ends the
// process, and the platform may send it before the settings are read and while the process leaves after a SIGTERM.
func hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// onChange reads the settings again at SIGHUP, and when the file has changed. One that can't be read changes nothing.
func onChange(ctx context.Context, hangups <-chan os.Signal, path string, log *zap.Logger, reload func(*boot.Settings)) {
	t := time.NewTicker(look)
	defer t.Stop()
	seen := stamp(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-t.C:
			if stamp(path) == seen {
				continue
			}
		}
		seen = stamp(path)
		s, err := boot.Read(path)
		if err != nil {
			log.Warn("the settings stay as they are", zap.Error(err))
			continue
		}
		reload(s)
		log.Info("settings read again")
	}
}

// stamp tells one state of a file from another.
func stamp(path string) string {
	st, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(st.Size(), st.ModTime().UnixNano())
}

func logger(level string) (*zap.Logger, error) {
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
