package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/mailru/easyjson"

	"sagelever/internal/control/client"
	"sagelever/internal/control/drain"
	"sagelever/internal/settings"
)

// The operator's words on drains, and how they are given.
type drainCommands struct {
	drain, undrain, list      *flaggy.Subcommand
	target, contacts, timeout string
	wait, force, paced        bool
	json                      bool
}

// progressInterval is how often a drain that is waited for is looked at.
const progressInterval = 500 * time.Millisecond

func newDrainCommands(parser *flaggy.Parser) *drainCommands {
	commands := &drainCommands{timeout: "60s"}
	commands.drain, commands.undrain, commands.list = flaggy.NewSubcommand("drain"), flaggy.NewSubcommand("undrain"), flaggy.NewSubcommand("drains")
	commands.drain.Description = "no new work for an appliance, a service in a zone, or a zone: BACKEND, SERVICE@ZONE or ZONE"
	commands.undrain.Description = "withdraws a drain"
	commands.list.Description = "what is drained, who still has work there, and what stands in the way"
	commands.drain.AddPositionalValue(&commands.target, "target", 1, true, "BACKEND, SERVICE@ZONE or ZONE")
	commands.undrain.AddPositionalValue(&commands.target, "target", 1, true, "as it was drained")
	commands.list.AddPositionalValue(&commands.target, "target", 1, false, "only this one")
	commands.drain.Bool(&commands.wait, "w", "wait", "show progress, and end when nothing is left or --for has passed")
	commands.drain.Bool(&commands.force, "", "force", "also where too little room would be left")
	commands.drain.Bool(&commands.paced, "", "paced", "as there is room: whole, or one appliance after the other")
	commands.drain.String(&commands.timeout, "", "for", "for how long --wait and --paced go on")
	for _, command := range []*flaggy.Subcommand{commands.drain, commands.undrain, commands.list} {
		command.String(&commands.contacts, "a", "at", "agents that serve steering, host:port with commas (default: firstContacts of the settings)")
		command.Bool(&commands.json, "j", "json", "write for programs")
		parser.AttachSubcommand(command, 1)
	}
	return commands
}

func (d *drainCommands) used() bool { return d.drain.Used || d.undrain.Used || d.list.Used }

// run carries a word out and gives the exit code.
func (d *drainCommands) run(ctx context.Context, settingsPath string, out, errOut io.Writer) int {
	timeout, err := time.ParseDuration(d.timeout)
	if err != nil || timeout <= 0 || d.force && d.paced {
		fmt.Fprintln(errOut, "--for: want a time such as 60s; --force and --paced: one of them")
		return exitUsage
	}
	addresses := strings.FieldsFunc(d.contacts, func(r rune) bool { return r == ',' || r == ' ' })
	if len(addresses) == 0 {
		s, err := settings.Read(settingsPath)
		if err != nil {
			fmt.Fprintln(errOut, errors.Wrap(err, "no --at is given"))
			return exitUsage
		}
		addresses = s.SeedAddresses
	}
	operator := client.New(addresses)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	say := func(text string) {
		if !d.json {
			fmt.Fprintln(out, text)
		}
	}
	switch {
	case d.undrain.Used:
		err = operator.Undrain(ctx, d.target)
	case d.list.Used:
		var list []drain.Progress
		if list, err = operator.ListDrains(ctx, d.target); err == nil {
			d.printDrains(out, list)
		}
	case d.paced:
		err = operator.DrainGradually(ctx, d.target, say)
	default:
		var answer *drain.Response
		if answer, err = operator.Drain(ctx, d.target, d.force); err == nil && answer.AlreadyActive {
			say(d.target + " was drained already")
		}
		if err == nil && len(answer.Unresponsive) > 0 {
			say("the load of these is not in the figures, as they do not answer: " + strings.Join(answer.Unresponsive, ", "))
		}
	}
	switch {
	case err == nil && d.drain.Used && d.wait:
		return d.waitUntilDrained(ctx, operator, out, errOut, say)
	case err == nil:
		return exitOK
	}
	fmt.Fprintln(errOut, err)
	if _, ok := errors.Into[*client.InsufficientCapacityError](err); ok {
		return exitNoCapacity
	}
	return exitFailed
}

// waitUntilDrained shows progress until nothing is left, or says what is.
func (d *drainCommands) waitUntilDrained(ctx context.Context, operator *client.Client, out, errOut io.Writer, say func(string)) int {
	var last []drain.Progress
	for printed := ""; ; {
		list, err := operator.ListDrains(ctx, d.target)
		if err == nil && len(list) > 0 {
			last = list
			if text := client.Summary(list[0]); text != printed {
				printed = text
				say(text)
			}
			if list[0].Done {
				if d.json {
					d.printDrains(out, list)
				}
				return exitOK
			}
		}
		select {
		case <-time.After(progressInterval):
		case <-ctx.Done():
			if err != nil {
				fmt.Fprintln(errOut, err)
			}
			d.printDrains(out, last) // it stays drained: what is left is said
			return exitNotDrained
		}
	}
}

func (d *drainCommands) printDrains(out io.Writer, list []drain.Progress) {
	if !d.json {
		client.WriteTable(out, list)
		return
	}
	b, _ := easyjson.Marshal(&drain.ProgressList{Drains: list}) // texts and whole numbers only: it cannot fail
	fmt.Fprintf(out, "%s\n", b)
}
