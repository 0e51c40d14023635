//go:build !lean

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"sagelever/httpagent"
	"sagelever/match/rules"
)

// maxExplainBody limits the request body that "match explain" reads, in bytes.
const maxExplainBody = 1 << 20

// newRuleCommands returns the commands that check, explain and time rules without running an agent.
func newRuleCommands(files *fileSource) []*cobra.Command {
	m := &matchCommands{files: files}
	group := &cobra.Command{Use: "match", Short: "check, explain and time the operator's rules"}
	group.AddCommand(
		m.newCommand("check", "say what each rule decides and what it may cost", checkRules),
		m.newCommand("explain", "read a request on standard input and say what the rules make of it", explainRequest),
		m.newCommand("bench", "time the most expensive message that the limits allow", benchmarkRules),
	)
	return []*cobra.Command{group}
}

// matchCommands holds the flags that the subcommands of "match" share.
type matchCommands struct {
	files  *fileSource
	asJSON bool
}

// reportFunc creates the report of one subcommand for a station and its rules. It may read a request from in.
type reportFunc func(in io.Reader, station *httpagent.Station, set *rules.Set) (fmt.Stringer, error)

// newCommand returns a subcommand that prints a report on the rules of a file.
func (m *matchCommands) newCommand(name, short string, report reportFunc) *cobra.Command {
	command := &cobra.Command{
		Use:   name + " FILE",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return m.run(command, args[0], report)
		},
	}
	command.Flags().BoolVar(&m.asJSON, "json", false, "print JSON")
	addFileFlags(command, m.files)
	return command
}

// run prints a report on the rules of a file.
func (m *matchCommands) run(command *cobra.Command, path string, report reportFunc) error {
	station, err := m.files.readStation()
	if err != nil {
		return err
	}
	set, err := readRuleSet(station, fileSource{m.files.configPath, path})
	if err != nil {
		return err
	}
	result, err := report(command.InOrStdin(), station, set)
	if err != nil {
		return err
	}
	out := command.OutOrStdout()
	if !m.asJSON {
		_, err = fmt.Fprint(out, result)
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}

// readRuleSet reads the rules of the operator's file. A file without rules gives an empty set.
func readRuleSet(station *httpagent.Station, files fileSource) (*rules.Set, error) {
	judge, err := files.rules(station)
	if err != nil {
		return nil, err
	}
	if set, ok := judge.(*rules.Set); ok {
		return set, nil
	}
	return rules.Compile(nil, station.Deployment(), 0)
}

// checkRules reports the outputs and the cost bound of each rule.
func checkRules(_ io.Reader, _ *httpagent.Station, set *rules.Set) (fmt.Stringer, error) {
	return newCheckReport(set), nil
}

// explainRequest reads an HTTP request and reports how the rules evaluate it.
func explainRequest(in io.Reader, station *httpagent.Station, set *rules.Set) (fmt.Stringer, error) {
	request, err := http.ReadRequest(bufio.NewReader(in))
	if err != nil {
		return nil, fmt.Errorf("the request cannot be read: %w", err)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxExplainBody)); err != nil {
		return nil, fmt.Errorf("the body cannot be read: %w", err)
	}
	return explain(set, station.Subject(request)), nil
}

// benchmarkRules reports how long the rules take on this machine.
func benchmarkRules(_ io.Reader, _ *httpagent.Station, set *rules.Set) (fmt.Stringer, error) {
	return benchmark(set), nil
}
