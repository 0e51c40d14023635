package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"sagelever/internal/control/client"
	"sagelever/internal/settings"
)

// drainCommands declares the sub-commands drain, undrain and drains, and holds the values of their arguments and flags.
type drainCommands struct {
	drain   *flaggy.Subcommand
	undrain *flaggy.Subcommand
	list    *flaggy.Subcommand

	target   string // a backend's id, SERVICE@ZONE or ZONE
	contacts string // addresses of controllers, separated by commas
	timeout  string // in the format of time.ParseDuration
	wait     bool
	force    bool
	paced    bool
	json     bool
}

func newDrainCommands(parser *flaggy.Parser) *drainCommands {
	d := &drainCommands{
		drain:   flaggy.NewSubcommand("drain"),
		undrain: flaggy.NewSubcommand("undrain"),
		list:    flaggy.NewSubcommand("drains"),
		timeout: "60s",
	}
	d.drain.Description = "no new work for a backend, a service in a zone, or a zone: BACKEND, SERVICE@ZONE or ZONE"
	d.drain.AddPositionalValue(&d.target, "target", 1, true, "BACKEND, SERVICE@ZONE or ZONE")
	d.drain.Bool(&d.wait, "w", "wait", "show progress, and end when nothing is left or --for has passed")
	d.drain.Bool(&d.force, "", "force", "also if too little capacity would be left")
	d.drain.Bool(&d.paced, "", "paced", "as capacity allows: all at once, or one backend after the other")
	d.drain.String(&d.timeout, "", "for", "for how long --wait and --paced go on")
	d.undrain.Description = "withdraws a drain"
	d.undrain.AddPositionalValue(&d.target, "target", 1, true, "as it was drained")
	d.list.Description = "what is drained, who still has work there, and what blocks a drain"
	d.list.AddPositionalValue(&d.target, "target", 1, false, "only this one")
	for _, command := range []*flaggy.Subcommand{d.drain, d.undrain, d.list} {
		command.String(&d.contacts, "a", "at",
			"controllers to call, host:port with commas (default: firstContacts of the settings)")
		command.Bool(&d.json, "j", "json", "write for programs")
		parser.AttachSubcommand(command, 1)
	}
	return d
}

// used reports whether the command line has one of the sub-commands.
func (d *drainCommands) used() bool { return d.drain.Used || d.undrain.Used || d.list.Used }

// run executes the sub-command on the command line and returns the exit code.
func (d *drainCommands) run(ctx context.Context, settingsPath string, out, errOut io.Writer) int {
	timeout, err := time.ParseDuration(d.timeout)
	if err != nil || timeout <= 0 || d.force && d.paced {
		fmt.Fprintln(errOut, "--for: want a time such as 60s; --force and --paced: one of them")
		return exitUsage
	}
	addresses, err := d.controllerAddresses(settingsPath)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	session := &drainSession{
		controllers: client.New(addresses),
		target:      d.target,
		json:        d.json,
		out:         out,
		errOut:      errOut,
	}
	if err := d.execute(ctx, session); err != nil {
		fmt.Fprintln(errOut, err)
		return exitCodeOf(err)
	}
	if d.drain.Used && d.wait {
		return session.waitUntilDrained(ctx)
	}
	return exitOK
}

// controllerAddresses returns the addresses of --at, or those of the settings file if --at is missing.
func (d *drainCommands) controllerAddresses(settingsPath string) ([]string, error) {
	addresses := strings.FieldsFunc(d.contacts, func(r rune) bool { return r == ',' || r == ' ' })
	if len(addresses) > 0 {
		return addresses, nil
	}
	config, err := settings.Read(settingsPath)
	if err != nil {
		return nil, errors.Wrap(err, "--at is missing")
	}
	return config.SeedAddresses, nil
}

// execute sends the command to the controllers.
func (d *drainCommands) execute(ctx context.Context, session *drainSession) error {
	switch {
	case d.undrain.Used:
		return session.controllers.Undrain(ctx, d.target)
	case d.list.Used:
		return session.list(ctx)
	case d.paced:
		return session.controllers.DrainGradually(ctx, d.target, session.printText)
	default:
		return session.drain(ctx, d.force)
	}
}

// exitCodeOf returns the exit code for a failed command.
func exitCodeOf(err error) int {
	if _, ok := errors.Into[*client.InsufficientCapacityError](err); ok {
		return exitNoCapacity
	}
	return exitFailed
}
