//go:build lean

package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"sagelever/httpagent"
	"sagelever/match"
)

// A lean program carries no rules: their language takes nine megabytes of a small agent's memory, whether or not it is
// used.

func ruleCommands(func(*cobra.Command) *cobra.Command, *fileSource) []*cobra.Command { return nil }

func (s fileSource) load(*httpagent.Station) (match.Judge, mountFunc, error) {
	if s.operatorPath == "" {
		return nil, nil, nil
	}
	return nil, nil, errors.New("this program was built lean, without rules: leave --operator out, or build it without -tags lean")
}

func printError(out io.Writer, err error) { fmt.Fprintln(out, "sagelever:", err) }
