package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"sagelever/httpagent"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/ws"
)

// agentSettings are the deployment settings of the agents under test, with one workload for each of the three
// semantics.
const agentSettings = `{"balancers":1,"position":0,"tick":5,"registryMode":"automatic","classes":[
	{"name":"look","semantics":"free","goalTime":300,"giveUp":750,"worth":1},
	{"name":"keep","semantics":"guarded","group":"all","keyTtl":2000,"goalTime":600,"giveUp":2000,"worth":5},
	{"name":"rollout-step","semantics":"single_shot","goalTime":750,"giveUp":2000,"worth":2}],
	"permissions":{"connIdle":30000,"dialTimeout":250,"maxAttempts":5,"mayCancel":true,"secondCopies":true,
		"maxRetryAfter":500,"retryAfter":true},
	"safety":{"answerSlack":50,"drainGrace":500},"familyInfo":{"voteWait":1000,"mostShares":[1]},
	"telemetry":{"fields":["queue"],"source":"answers"}}`

// webSocketPath is the path for WebSocket upgrades, both of clients at the agent and of the agent at backends.
const webSocketPath = "/ws"

// readyTimeout bounds the wait for an agent to start. Its health is polled every readyInterval.
const (
	readyTimeout  = 5 * time.Second
	readyInterval = 10 * time.Millisecond
)

var errNotReady = errors.New("agent did not become ready")

// runningAgent is an agent that runs in this process.
type runningAgent struct {
	address string       // host:port for clients
	ended   <-chan error // receives the result of the agent once
	cancel  context.CancelFunc
}

// stop stops the agent and returns its error.
func (a *runningAgent) stop() error {
	a.cancel()
	return <-a.ended
}

// startAgent starts an agent that serves HTTP and WebSocket, and waits until it is ready.
func startAgent(discoveryAddress string, seed uint64, log *slog.Logger) (*runningAgent, error) {
	station, err := newStation(discoveryAddress, firstBuild, log)
	if err != nil {
		return nil, err
	}
	agent := httpagent.New(station)
	// The connections to backends stay open until the agent has shut down.
	backendsCtx, closeBackends := context.WithCancel(context.Background())
	mountWebSocket(backendsCtx, agent, seed, log)
	return runAgent(agent, station.Listen, closeBackends)
}

// mountWebSocket adds a handler for WebSocket clients to an agent.
func mountWebSocket(ctx context.Context, agent *httpagent.Agent, seed uint64, log *slog.Logger) {
	backends := ws.NewBackendPool(ctx, webSocketPath, connpool.DefaultConfig, seed, log)
	agent.OnBackends(func(endpoints []httpagent.BackendEndpoint) {
		updated := make([]ws.BackendEndpoint, len(endpoints))
		for i, endpoint := range endpoints {
			updated[i] = ws.BackendEndpoint(endpoint)
		}
		backends.Update(updated)
	})
	agent.Mount(webSocketPath, ws.NewServer(agent, backends, ws.DefaultLimits, log))
}

// runAgent starts an agent and waits until it is ready. It calls cleanUp after the agent has stopped.
func runAgent(agent *httpagent.Agent, address string, cleanUp func()) (*runningAgent, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		err := agent.Run(ctx)
		cleanUp()
		ended <- err
	}()
	running := &runningAgent{address: address, ended: ended, cancel: cancel}
	if err := waitReady(address); err != nil {
		return nil, errors.Join(err, running.stop())
	}
	return running, nil
}

// newStation returns the configuration of an agent on a free port for which a build is released.
func newStation(discoveryAddress string, build int, log *slog.Logger) (*httpagent.Station, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	station := &httpagent.Station{
		Name:      "lab",
		Listen:    listener.Addr().String(),
		Discovery: discoveryAddress,
		Settings:  json.RawMessage(agentSettings),
		Log:       log,
	}
	listener.Close()
	station.Platform.News = fmt.Appendf(nil,
		`{"image":%d,"ring":0,"progress":"released","ceiling":1,"lag_ms":0}`, build)
	return station, station.Check()
}

// waitReady waits until the health check of an agent succeeds.
func waitReady(address string) error {
	for range readyTimeout / readyInterval {
		response, err := http.Get("http://" + address + "/_health")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return errNotReady
}
