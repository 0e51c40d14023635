package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"sagelever/httpagent"
	"sagelever/match"
)

// errNoConfig is returned if no configuration file is given.
var errNoConfig = errors.New("no configuration: give --config FILE or set " + configVariable)

// fileSource holds the paths of the files that configure an agent.
type fileSource struct {
	configPath   string // JSON
	operatorPath string // INI; empty if there is none
}

// mountFunc adds listeners for other protocols to an agent. Their connections are closed when the context is canceled.
type mountFunc func(context.Context, *httpagent.Agent)

// readStation reads the configuration.
func (s fileSource) readStation() (*httpagent.Station, error) {
	if s.configPath == "" {
		return nil, errNoConfig
	}
	return httpagent.ReadStation(s.configPath)
}

// rules reads the rules of the operator's file, or returns nil if there are none.
func (s fileSource) rules(station *httpagent.Station) (match.Judge, error) {
	judge, _, err := s.load(station)
	return judge, err
}

// check reads all files, and prints a line for each if all are valid.
func (s fileSource) check(out io.Writer) error {
	station, err := s.readStation()
	if err != nil {
		return err
	}
	if _, err := s.rules(station); err != nil {
		return err
	}
	for _, path := range []string{s.configPath, s.operatorPath} {
		if path != "" {
			fmt.Fprintf(out, "%s: nothing wrong\n", path)
		}
	}
	return nil
}

// reload reads the files again and applies them to a running agent. An invalid file leaves its part of the
// configuration unchanged.
func (s fileSource) reload(agent *httpagent.Agent, log *slog.Logger) {
	station, err := s.readStation()
	if err != nil {
		log.Error("reload_failed", "file", s.configPath, "error", err)
		return
	}
	agent.Reload(station)
	if s.operatorPath == "" {
		return
	}
	rules, err := s.rules(station)
	if err != nil {
		log.Error("reload_failed", "file", s.operatorPath, "error", err)
		return
	}
	agent.SetRules(rules)
}
