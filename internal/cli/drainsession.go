package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"sagelever/internal/control/client"
	"sagelever/internal/control/drain"
)

// progressInterval is the interval at which the progress of a drain is read while waiting for it.
const progressInterval = 500 * time.Millisecond

// drainSession sends commands on one target to the controllers and prints their responses.
type drainSession struct {
	controllers *client.Client
	target      string
	json        bool // print JSON only
	out         io.Writer
	errOut      io.Writer
}

// printText prints a line, unless the output is JSON.
func (s *drainSession) printText(text string) {
	if !s.json {
		fmt.Fprintln(s.out, text)
	}
}

// printDrains prints a list of drains as a table or as JSON.
func (s *drainSession) printDrains(drains []drain.Progress) {
	if !s.json {
		client.WriteTable(s.out, drains)
		return
	}
	text, err := easyjson.Marshal(&drain.ProgressList{Drains: drains})
	if err != nil {
		fmt.Fprintln(s.errOut, err)
		return
	}
	fmt.Fprintf(s.out, "%s\n", text)
}

// list prints the drains of the target, or all drains if there is no target.
func (s *drainSession) list(ctx context.Context) error {
	drains, err := s.controllers.ListDrains(ctx, s.target)
	if err != nil {
		return err
	}
	s.printDrains(drains)
	return nil
}

// drain starts a drain of the target.
func (s *drainSession) drain(ctx context.Context, force bool) error {
	response, err := s.controllers.Drain(ctx, s.target, force)
	if err != nil {
		return err
	}
	if response.AlreadyActive {
		s.printText(s.target + " was drained already")
	}
	if len(response.Unresponsive) > 0 {
		nodes := strings.Join(response.Unresponsive, ", ")
		s.printText("the figures do not include the load of these nodes, which do not answer: " + nodes)
	}
	return nil
}

// waitUntilDrained prints progress until the target is drained or the context ends, and returns the exit code.
func (s *drainSession) waitUntilDrained(ctx context.Context) int {
	var latest []drain.Progress
	printed := ""
	for {
		drains, err := s.controllers.ListDrains(ctx, s.target)
		if err == nil && len(drains) > 0 {
			latest = drains
			if text := client.Summary(drains[0]); text != printed {
				printed = text
				s.printText(text)
			}
			if drains[0].Done {
				s.printFinal(drains)
				return exitOK
			}
		}
		select {
		case <-time.After(progressInterval):
		case <-ctx.Done():
			if err != nil {
				fmt.Fprintln(s.errOut, err)
			}
			s.printDrains(latest) // the drain remains active; print what is left
			return exitNotDrained
		}
	}
}

// printFinal prints the final state as JSON. The text output already ends with it as the last line of progress.
func (s *drainSession) printFinal(drains []drain.Progress) {
	if s.json {
		s.printDrains(drains)
	}
}
