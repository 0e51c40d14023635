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

// A lean program is built without the language of the rules, which takes nine megabytes of memory even if it is not
// used.

// errLean is the error of a lean program that is given an operator's file.
var errLean = errors.New(
	"this program was built lean, without rules: leave --operator out, or build it without -tags lean")

// newRuleCommands returns no commands.
func newRuleCommands(*fileSource) []*cobra.Command { return nil }

// load accepts no operator's file.
func (s fileSource) load(*httpagent.Station) (match.Judge, mountFunc, error) {
	if s.operatorPath == "" {
		return nil, nil, nil
	}
	return nil, nil, errLean
}

// printError prints an error.
func printError(out io.Writer, err error) { fmt.Fprintln(out, "sagelever:", err) }
