// Command wirehost runs many instances of the decision module on the simulator's wire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sagelever/decide"
	"sagelever/simwire"
)

type seat struct {
	began time.Duration
	agent *decide.Balancer
}

func main() {
	if err := host(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

func host(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	seats := map[string]*seat{}
	for {
		b, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		var replies []simwire.Reply
		place := map[string]int{}
		for _, ev := range b.Events {
			at, ok := place[ev.Instance]
			if !ok {
				at = len(replies)
				place[ev.Instance] = at
				replies = append(replies, simwire.Reply{Instance: ev.Instance})
			}
			reply := &replies[at]
			switch {
			case ev.Start != nil:
				reply.Actions = nil // what an earlier life of this batch wanted is void
				seats[ev.Instance] = &seat{began: b.Clock}
				guard(reply, func() { seats[ev.Instance].agent = decide.New(ev.Start.Seed, ev.Start.Terms) })
			case ev.Stop:
				reply.Actions = nil
				delete(seats, ev.Instance)
			default:
				s := seats[ev.Instance]
				if s == nil || s.agent == nil {
					continue
				}
				guard(reply, func() {
					reply.Actions = append(reply.Actions, s.agent.Step(b.Clock-s.began, ev.Event)...)
				})
			}
		}
		if err := simwire.Write(w, replies); err != nil {
			return err
		}
	}
}

// guard turns a panic of the module into the wire's fault report.
func guard(reply *simwire.Reply, f func()) {
	defer func() {
		if p := recover(); p != nil {
			reply.Actions = append(reply.Actions, simwire.Bug{Text: fmt.Sprint(p)})
		}
	}()
	f()
}
