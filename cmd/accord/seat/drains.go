package seat

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
	"github.com/mailru/easyjson"

	"sagelever/boot"
	"sagelever/ebb"
	"sagelever/helm"
)

// The operator's words on drains, and how they are given.
type drainWords struct {
	drain, undrain, list *flaggy.Subcommand
	target, at, within   string
	wait, force, paced   bool
	json                 bool
}

// refresh is how often a drain that is waited for is looked at.
const refresh = 500 * time.Millisecond

func newDrainWords(p *flaggy.Parser) *drainWords {
	d := &drainWords{within: "60s"}
	d.drain, d.undrain, d.list = flaggy.NewSubcommand("drain"), flaggy.NewSubcommand("undrain"), flaggy.NewSubcommand("drains")
	d.drain.Description = "no new work for an appliance, a service in a zone, or a zone: BACKEND, SERVICE@ZONE or ZONE"
	d.undrain.Description = "withdraws a drain"
	d.list.Description = "what is drained, who still has work there, and what stands in the way"
	d.drain.AddPositionalValue(&d.target, "target", 1, true, "BACKEND, SERVICE@ZONE or ZONE")
	d.undrain.AddPositionalValue(&d.target, "target", 1, true, "as it was drained")
	d.list.AddPositionalValue(&d.target, "target", 1, false, "only this one")
	d.drain.Bool(&d.wait, "w", "wait", "show progress, and end when nothing is left or --for has passed")
	d.drain.Bool(&d.force, "", "force", "also where too little room would be left")
	d.drain.Bool(&d.paced, "", "paced", "as there is room: whole, or one appliance after the other")
	d.drain.String(&d.within, "", "for", "for how long --wait and --paced go on")
	for _, c := range []*flaggy.Subcommand{d.drain, d.undrain, d.list} {
		c.String(&d.at, "a", "at", "agents that serve steering, host:port with commas (default: firstContacts of the settings)")
		c.Bool(&d.json, "j", "json", "write for programs")
		p.AttachSubcommand(c, 1)
	}
	return d
}

func (d *drainWords) used() bool { return d.drain.Used || d.undrain.Used || d.list.Used }

// run carries a word out and gives the exit code.
func (d *drainWords) run(ctx context.Context, settings string, out, complain io.Writer) int {
	within, err := time.ParseDuration(d.within)
	if err != nil || within <= 0 || d.force && d.paced {
		fmt.Fprintln(complain, "--for: want a time such as 60s; --force and --paced: one of them")
		return misused
	}
	contacts := strings.FieldsFunc(d.at, func(r rune) bool { return r == ',' || r == ' ' })
	if len(contacts) == 0 {
		s, err := boot.Read(settings)
		if err != nil {
			fmt.Fprintln(complain, errors.Wrap(err, "no --at is given"))
			return misused
		}
		contacts = s.FirstContacts
	}
	c := helm.New(contacts)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	say := func(text string) {
		if !d.json {
			fmt.Fprintln(out, text)
		}
	}
	switch {
	case d.undrain.Used:
		err = c.Undrain(ctx, d.target)
	case d.list.Used:
		var list []ebb.Progress
		if list, err = c.Drains(ctx, d.target); err == nil {
			d.write(out, list)
		}
	case d.paced:
		err = c.Paced(ctx, d.target, say)
	default:
		var got *ebb.Answer
		if got, err = c.Drain(ctx, d.target, d.force); err == nil && got.Stood {
			say(d.target + " was drained already")
		}
		if err == nil && len(got.Unheard) > 0 {
			say("the load of these is not in the figures, as they do not answer: " + strings.Join(got.Unheard, ", "))
		}
	}
	switch {
	case err == nil && d.drain.Used && d.wait:
		return d.follow(ctx, c, out, complain, say)
	case err == nil:
		return fine
	}
	fmt.Fprintln(complain, err)
	if _, ok := errors.Into[*helm.NoRoom](err); ok {
		return noRoom
	}
	return failed
}

// follow shows progress until nothing is left, or says what is.
func (d *drainWords) follow(ctx context.Context, c *helm.Client, out, complain io.Writer, say func(string)) int {
	var last []ebb.Progress
	for told := ""; ; {
		list, err := c.Drains(ctx, d.target)
		if err == nil && len(list) > 0 {
			last = list
			if text := helm.Brief(list[0]); text != told {
				told = text
				say(text)
			}
			if list[0].Done {
				if d.json {
					d.write(out, list)
				}
				return fine
			}
		}
		select {
		case <-time.After(refresh):
		case <-ctx.Done():
			if err != nil {
				fmt.Fprintln(complain, err)
			}
			d.write(out, last) // it stays drained: what is left is said
			return remains
		}
	}
}

func (d *drainWords) write(out io.Writer, list []ebb.Progress) {
	if !d.json {
		helm.Write(out, list)
		return
	}
	b, _ := easyjson.Marshal(&ebb.Listing{Drains: list}) // texts and whole numbers only: it cannot fail
	fmt.Fprintf(out, "%s\n", b)
}
