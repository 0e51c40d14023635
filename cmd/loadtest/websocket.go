package main

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
)

// webSocketBackends is the number of backends at the start of a run.
const webSocketBackends = 5

// errViolation is the error of a run that violated a guarantee.
var errViolation = errors.New("a guarantee was violated")

// webSocketOptions are the flags of the command websocket.
type webSocketOptions struct {
	messages int
	clients  int
	seed     uint64
}

func newWebSocketCommand() *cobra.Command {
	var options webSocketOptions
	var showLog bool
	command := &cobra.Command{
		Use:   "websocket",
		Short: "messages over WebSocket while backends fail, leave and fall silent",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runWebSocket(options, newLogger(showLog))
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), report)
			return report.check()
		},
	}
	flags := command.Flags()
	flags.IntVar(&options.messages, "messages", 20000, "how many are sent in all")
	flags.IntVar(&options.clients, "clients", 16, "connections that send them")
	flags.Uint64Var(&options.seed, "seed", 1, "of the messages and the faults")
	flags.BoolVar(&showLog, "log", false, "show the agent's log")
	return command
}

// webSocketReport is the result of a run.
type webSocketReport struct {
	messages       int
	answers        int
	missing        int // messages without an answer
	duplicated     int // messages with more than one answer
	satisfied      int
	deferred       int
	brokenOff      int
	errors         int
	notExecuted    int // satisfied without an execution or with an unexpected body
	maxRolloutRuns int // maximum executions of a message that must be executed at most once
	observed       observation
	faults         map[faultKind]int // number of injected faults
	p50            time.Duration
	p99            time.Duration
	elapsed        time.Duration
}

// String returns the report as one line of key=value pairs.
func (r webSocketReport) String() string {
	return fmt.Sprintf("messages=%d answers=%d missing=%d double=%d satisfied=%d deferred=%d broken_off=%d errors=%d "+
		"unrun=%d rollout_step_runs_max=%d late_after_drain=%d silent=%d deaf=%d killed=%d drained=%d full=%d cut=%d "+
		"p50=%s p99=%s took=%s",
		r.messages, r.answers, r.missing, r.duplicated, r.satisfied, r.deferred, r.brokenOff, r.errors,
		r.notExecuted, r.maxRolloutRuns, r.observed.lateAfterDrain,
		r.faults[faultSilent], r.faults[faultPingOnly], r.faults[faultKilled], r.faults[faultDrained],
		r.faults[faultOverloaded], r.observed.truncated,
		r.p50, r.p99, r.elapsed.Round(time.Millisecond))
}

// check returns an error if a guarantee was violated.
func (r webSocketReport) check() error {
	if r.missing+r.duplicated+r.notExecuted+r.observed.lateAfterDrain > 0 || r.maxRolloutRuns > 1 {
		return errViolation
	}
	return nil
}

// addAnswer counts one answer to a message. runs is how often backends executed the message.
func (r *webSocketReport) addAnswer(answerType string, record *answerRecord, runs int) {
	switch answerType {
	case "satisfied":
		r.satisfied++
		if runs == 0 || !record.bodyOK {
			r.notExecuted++
		}
	case "deferred":
		r.deferred++
	case "broken_off":
		r.brokenOff++
	default:
		r.errors++
	}
}

// summarize compares the answers that clients received with the executions that backends recorded.
func summarize(records map[string]*answerRecord, observed observation) webSocketReport {
	report := webSocketReport{observed: observed}
	var latencies []time.Duration
	for id, record := range records {
		runs := observed.runs[id]
		report.messages++
		report.answers += len(record.types)
		switch {
		case len(record.types) == 0:
			report.missing++
		case len(record.types) > 1:
			report.duplicated++
		}
		for _, answerType := range record.types {
			report.addAnswer(answerType, record, runs)
			if answerType == "satisfied" {
				latencies = append(latencies, record.latency)
			}
		}
		if record.rollout {
			report.maxRolloutRuns = max(report.maxRolloutRuns, runs)
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		report.p50 = latencies[len(latencies)/2]
		report.p99 = latencies[len(latencies)*99/100]
	}
	return report
}

// runWebSocket sends messages over WebSocket while faults are injected.
func runWebSocket(options webSocketOptions, log *slog.Logger) (webSocketReport, error) {
	backends, err := newBackendSet(webSocketBackends)
	if err != nil {
		return webSocketReport{}, err
	}
	defer backends.close()
	agent, err := startAgent(backends.discovery.Address, options.seed, log)
	if err != nil {
		return webSocketReport{}, err
	}
	start := time.Now()
	var sent atomic.Int64
	recordsByClient := make([]map[string]*answerRecord, options.clients)
	var senders sync.WaitGroup
	for number := range options.clients {
		senders.Go(func() {
			rng := rand.New(rand.NewPCG(options.seed, uint64(number)))
			recordsByClient[number] = sendMessages(agent.address, number, options.messages/options.clients, rng, &sent)
		})
	}
	faults, faultErr := backends.injectFaults(options.messages, options.seed, &sent)
	senders.Wait()
	records := map[string]*answerRecord{}
	for _, clientRecords := range recordsByClient {
		maps.Copy(records, clientRecords)
	}
	report := summarize(records, backends.observe())
	report.faults = faults
	report.elapsed = time.Since(start)
	return report, errors.Join(faultErr, agent.stop())
}
