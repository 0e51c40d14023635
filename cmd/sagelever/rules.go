//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"sagelever/httpagent"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/ws"
	"sagelever/internal/settings/operatorfile"
	"sagelever/match"
)

// webSocketSocketShare limits WebSocket connections to backends to 1/4 of the descriptors. The others are left for
// clients and for HTTP.
const webSocketSocketShare = 4

// load reads the operator's file for a station. It returns the rules, and a function that mounts the listeners which
// the file enables; each is nil if there are none.
func (s fileSource) load(station *httpagent.Station) (match.Judge, mountFunc, error) {
	if s.operatorPath == "" {
		return nil, nil, nil
	}
	data, err := readOperatorFile(s.operatorPath)
	if err != nil {
		return nil, nil, err
	}
	config, err := operatorfile.Read(s.operatorPath, data, station.Deployment())
	if err != nil {
		return nil, nil, err
	}
	var judge match.Judge // stays a nil interface if there are no rules
	if config.RuleSet != nil {
		judge = config.RuleSet
	}
	if config.WebSocket.Path == "" {
		return judge, nil, nil
	}
	mount := func(ctx context.Context, agent *httpagent.Agent) {
		mountWebSocket(ctx, agent, station, config.WebSocket)
	}
	return judge, mount, nil
}

// mountWebSocket adds a WebSocket listener for clients to an agent.
func mountWebSocket(
	ctx context.Context, agent *httpagent.Agent, station *httpagent.Station, config operatorfile.WebSocket,
) {
	poolConfig := connpool.DefaultConfig
	poolConfig.MaxPerBackend = config.ConnectionsPerBackend
	if sockets := station.Limits.Sockets; sockets > 0 {
		poolConfig.MaxTotal = max(sockets/webSocketSocketShare, 1)
	}
	if config.BackendPath == "" {
		config.BackendPath = config.Path
	}
	limits := ws.Limits{
		PerConnection: config.MaxInFlightPerConnection,
		Total:         int64(config.MaxInFlight),
		MaxQueued:     config.MaxUnsent,
		Heartbeat:     config.Heartbeat,
	}
	backends := ws.NewBackendPool(ctx, config.BackendPath, poolConfig, uint64(station.Seed), station.Log)
	agent.OnBackends(func(endpoints []httpagent.BackendEndpoint) {
		updated := make([]ws.BackendEndpoint, len(endpoints))
		for i, endpoint := range endpoints {
			updated[i] = ws.BackendEndpoint(endpoint)
		}
		backends.Update(updated)
	})
	agent.Mount(config.Path, ws.NewServer(agent, backends, limits, station.Log))
	station.Log.Info("websocket", "path", config.Path, "appliances", config.BackendPath)
}

// readOperatorFile reads a regular file. It rejects pipes, as reading one without a writer would block this reload and
// all later ones.
func readOperatorFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is not a regular file", path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, operatorfile.MaxBytes+1)) // the extra byte reveals a file that is too large
}

// multiError is implemented by the errors that errors.Join returns.
type multiError interface{ Unwrap() []error }

// printError prints an error. A parse error of the operator's file is followed by the line and a caret below the
// column.
func printError(out io.Writer, err error) {
	var joined multiError
	if errors.As(err, &joined) {
		for _, each := range joined.Unwrap() {
			printError(out, each)
		}
		return
	}
	var parseError *operatorfile.ParseError
	if !errors.As(err, &parseError) {
		fmt.Fprintln(out, "sagelever:", err)
		return
	}
	fmt.Fprintln(out, parseError)
	if caret := parseError.Caret(); caret != "" {
		fmt.Fprintln(out, caret)
	}
}
