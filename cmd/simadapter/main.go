// Command simadapter runs many instances of the decision module on the simulator's wire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"sagelever/internal/agent/policy"
	"sagelever/internal/sim/protocol"
)

type instance struct {
	startedAt time.Duration
	agent     *policy.Balancer
}

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	reader, writer := protocol.NewReader(in), bufio.NewWriterSize(out, 1<<20)
	instances := map[string]*instance{}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		var replies []protocol.Reply
		replyIndex := map[string]int{}
		for _, event := range batch.Events {
			index, ok := replyIndex[event.Instance]
			if !ok {
				index = len(replies)
				replyIndex[event.Instance] = index
				replies = append(replies, protocol.Reply{Instance: event.Instance})
			}
			reply := &replies[index]
			switch {
			case event.Start != nil:
				reply.Actions = nil // what an earlier life of this batch wanted is void
				instances[event.Instance] = &instance{startedAt: batch.Clock}
				reportPanic(reply, func() { instances[event.Instance].agent = policy.New(event.Start.Seed, event.Start.Settings) })
			case event.Stop:
				reply.Actions = nil
				delete(instances, event.Instance)
			default:
				s := instances[event.Instance]
				if s == nil || s.agent == nil {
					continue
				}
				reportPanic(reply, func() {
					reply.Actions = append(reply.Actions, s.agent.Step(batch.Clock-s.startedAt, event.Event)...)
				})
			}
		}
		if err := protocol.WriteReplies(writer, replies); err != nil {
			return err
		}
	}
}

// reportPanic turns a panic of the module into the wire's fault report.
func reportPanic(reply *protocol.Reply, step func()) {
	defer func() {
		if p := recover(); p != nil {
			reply.Actions = append(reply.Actions, protocol.PolicyFailure{Text: fmt.Sprint(p)})
		}
	}()
	step()
}
