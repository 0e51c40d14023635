package main

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"
)

const (
	// rateBackends, rateClients and rateRounds are the numbers of backends, WebSocket connections and rounds.
	rateBackends = 3
	rateClients  = 4
	rateRounds   = 2
	// clientsPerRound separates the client numbers of two rounds.
	clientsPerRound = 1000
)

func newRateCommand() *cobra.Command {
	var messages int
	command := &cobra.Command{
		Use:   "rate",
		Short: "messages a second over HTTP and WebSocket, on one core",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := runRate(messages, newLogger(false))
			if err == nil {
				fmt.Fprintln(command.OutOrStdout(), report)
			}
			return err
		},
	}
	command.Flags().IntVar(&messages, "messages", 20000, "how many over each, twice")
	return command
}

// rateReport holds the rates in messages per second on one core, which clients, agent and backends share.
type rateReport struct {
	http         float64
	webSocket    float64
	webSocketP99 time.Duration
}

// String returns the report as one line of key=value pairs.
func (r rateReport) String() string {
	return fmt.Sprintf("http=%.0f websocket=%.0f ratio=%.2f p99_websocket=%s",
		r.http, r.webSocket, r.webSocket/r.http, r.webSocketP99)
}

// runRate measures HTTP and then WebSocket in each round, with the same number of messages and of messages in flight.
// It reports the best rate of all rounds.
func runRate(messages int, log *slog.Logger) (rateReport, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	backends, err := newBackendSet(rateBackends)
	if err != nil {
		return rateReport{}, err
	}
	defer backends.close()
	agent, err := startAgent(backends.discovery.Address, 1, log)
	if err != nil {
		return rateReport{}, err
	}
	var report rateReport
	for round := range rateRounds {
		rate := measureHTTP(agent.address, messages, round)
		report.http = max(report.http, rate)
		rate, p99 := measureWebSocket(agent.address, messages, round)
		report.webSocket = max(report.webSocket, rate)
		report.webSocketP99 = max(report.webSocketP99, p99)
	}
	return report, agent.stop()
}

// measureHTTP returns the rate of successful messages per second over HTTP.
func measureHTTP(address string, messages, round int) float64 {
	start := time.Now()
	satisfied := sendOverHTTP(address, messages, rateClients*inFlightPerClient, round)
	return float64(satisfied) / time.Since(start).Seconds()
}

// measureWebSocket returns the rate of satisfied messages per second over WebSocket, and the 99th percentile of their
// latency.
func measureWebSocket(address string, messages, round int) (rate float64, p99 time.Duration) {
	var sent atomic.Int64
	recordsByClient := make([]map[string]*answerRecord, rateClients)
	var clients sync.WaitGroup
	start := time.Now()
	for i := range rateClients {
		clients.Go(func() {
			number := (round+1)*clientsPerRound + i
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			recordsByClient[i] = sendMessages(address, number, messages/rateClients, rng, &sent)
		})
	}
	clients.Wait()
	elapsed := time.Since(start) - secondAnswerWait
	satisfied := 0
	for _, records := range recordsByClient {
		report := summarize(records, observation{})
		satisfied += report.satisfied
		p99 = max(p99, report.p99)
	}
	return float64(satisfied) / elapsed.Seconds(), p99
}

// sendOverHTTP sends messages over HTTP with the given concurrency, and returns how many were successful.
func sendOverHTTP(address string, messages, concurrency, round int) int64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrency}}
	defer client.CloseIdleConnections()
	var started, satisfied atomic.Int64
	var senders sync.WaitGroup
	for range concurrency {
		senders.Go(func() {
			for {
				number := started.Add(1)
				if number > int64(messages) {
					return
				}
				if sendOneOverHTTP(client, address, fmt.Sprintf("h%d-%d", round, number)) {
					satisfied.Add(1)
				}
			}
		})
	}
	senders.Wait()
	return satisfied.Load()
}

// sendOneOverHTTP sends one message and reports whether it was successful.
func sendOneOverHTTP(client *http.Client, address, id string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/look/x", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Request-Id", id)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
