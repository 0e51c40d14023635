// Command sagelever runs one agent on sockets.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/pflag"

	"sagelever/httpagent"
)

const version = "0.1.0"

const usage = `usage: sagelever COMMAND [flags]

  serve     run one agent
  check     read a configuration and say what is wrong with it
  version   print the version

flags:
`

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "sagelever:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := pflag.NewFlagSet("sagelever", pflag.ContinueOnError)
	file := flags.StringP("config", "c", os.Getenv("GW_CONFIG"), "the configuration, as JSON (from GW_CONFIG)")
	flags.Usage = func() { fmt.Fprint(os.Stderr, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return nil
	} else if err != nil {
		return err
	}
	switch flags.Arg(0) {
	case "version":
		fmt.Println("sagelever", version, runtime.Version())
		return nil
	case "check", "serve":
		station, err := httpagent.ReadStation(*file)
		if err != nil {
			return err
		}
		if flags.Arg(0) == "check" {
			fmt.Printf("%s: good\n", *file)
			return nil
		}
		return serve(station)
	}
	flags.Usage()
	return fmt.Errorf("no such command: %q", flags.Arg(0))
}

// serve runs one agent inside its limits until SIGTERM or SIGINT.
func serve(station *httpagent.Station) error {
	if l := station.Limits; l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 * 3 / 4) // the rest is for what the runtime does not count
	}
	if l := station.Limits; l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return httpagent.New(station).Run(ctx)
}
