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

// A lean build leaves out the rule language, which takes 9 MB of memory even if it is not used.

// errLean is returned if a lean build is given an operator's file.
var errLean = errors.New(
	"this program was built lean, without rules: leave --operator out, or build it without -tags lean")

// newRuleCommands returns no commands.
func newRuleCommands(*fileSource) []*cobra.Command { return nil }

// load returns an error if there is an operator's file.
func (s fileSource) load(*httpagent.Station) (match.Judge, mountFunc, error) {
	if s.operatorPath == "" {
		return nil, nil, nil
	}
	return nil, nil, errLean
}

// printError prints an error.
func printError(out io.Writer, err error) { fmt.Fprintln(out, "sagelever:", err) }
