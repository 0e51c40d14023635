package main

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

// Environment variables for the paths of the files; flags override them.
const (
	configVariable   = "GW_CONFIG"
	operatorVariable = "GW_OPERATOR"
)

// run executes a command line.
func run(args []string, in io.Reader, out io.Writer) error {
	root := newRootCommand(in, out)
	root.SetArgs(args)
	return root.Execute()
}

// newRootCommand returns the root command with all subcommands. The commands hold parsed flags, so each run needs new
// ones.
func newRootCommand(in io.Reader, out io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "sagelever",
		Short:         "Moves calls between an earlier build and a build on trial",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(out)
	files := &fileSource{}
	root.AddCommand(newRuleCommands(files)...)
	root.AddCommand(newServeCommand(files), newCheckCommand(files), newVersionCommand())
	return root
}

// addFileFlags adds the flags for the paths of the agent's files.
func addFileFlags(command *cobra.Command, files *fileSource) {
	flags := command.Flags()
	flags.StringVarP(&files.configPath, "config", "c", os.Getenv(configVariable),
		"the configuration, a JSON file; "+configVariable+" if not given")
	flags.StringVar(&files.operatorPath, "operator", os.Getenv(operatorVariable),
		"the operator's own file, an INI; none if not given")
}

func newServeCommand(files *fileSource) *cobra.Command {
	var logFormat string
	command := &cobra.Command{
		Use:   "serve",
		Short: "run one agent until SIGTERM; SIGHUP reads its files again",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			station, err := files.readStation()
			if err != nil {
				return err
			}
			return serve(station, *files, logFormat)
		},
	}
	addFileFlags(command, files)
	command.Flags().StringVar(&logFormat, "log-format", textFormat, "text (key=value) or json")
	return command
}

func newCheckCommand(files *fileSource) *cobra.Command {
	command := &cobra.Command{
		Use:   "check",
		Short: "read the files and say what is wrong with them",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return files.check(command.OutOrStdout())
		},
	}
	addFileFlags(command, files)
	return command
}

func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "print the version",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "sagelever", version, runtime.Version())
		},
	}
}
