//go:build !lean

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sagelever/httpagent"
	"sagelever/internal/agent/connpool"
	"sagelever/internal/agent/ws"
	"sagelever/internal/settings/operatorfile"
	"sagelever/match"
	"sagelever/match/rules"
)

// ruleCommands gives the commands of a program that carries the rules' language.
func ruleCommands(withFileFlags func(*cobra.Command) *cobra.Command, files *fileSource) []*cobra.Command {
	return []*cobra.Command{matchCommand(withFileFlags, files)}
}

// load reads the operator's file for a station: its rules, nil if there are none, and how the fronts that it switches on
// are mounted on an agent, nil if there are none. They end with the context.
func (s fileSource) load(station *httpagent.Station) (match.Judge, mountFunc, error) {
	if s.operatorPath == "" {
		return nil, nil, nil
	}
	data, err := readOperatorFile(s.operatorPath)
	if err != nil {
		return nil, nil, err
	}
	plan, err := operatorfile.Read(s.operatorPath, data, station.Deployment())
	if err != nil {
		return nil, nil, err
	}
	var judge match.Judge
	if plan.RuleSet != nil {
		judge = plan.RuleSet
	}
	if plan.WebSocket.Path == "" {
		return judge, nil, nil
	}
	return judge, func(ctx context.Context, a *httpagent.Agent) { mountWebSocket(ctx, a, station, plan.WebSocket) }, nil
}

// mountWebSocket puts the WebSocket front beside HTTP.
func mountWebSocket(ctx context.Context, agent *httpagent.Agent, station *httpagent.Station, config operatorfile.WebSocket) {
	bounds := connpool.DefaultConfig
	bounds.MaxPerBackend = config.ConnectionsPerBackend
	if sockets := station.Limits.Sockets; sockets > 0 {
		bounds.MaxTotal = max(sockets/4, 1) // a quarter: clients and HTTP's connections have the rest
	}
	if config.BackendPath == "" {
		config.BackendPath = config.Path
	}
	links := ws.NewBackendPool(ctx, config.BackendPath, bounds, uint64(station.Seed), station.Log)
	agent.OnBackends(func(places []httpagent.BackendEndpoint) {
		lines := make([]ws.BackendEndpoint, len(places))
		for i, p := range places {
			lines[i] = ws.BackendEndpoint(p)
		}
		links.Update(lines)
	})
	agent.Mount(config.Path, ws.NewServer(agent, links, ws.Limits{PerConnection: config.MaxInFlightPerConnection, Total: int64(config.MaxInFlight), MaxQueued: config.MaxUnsent, Heartbeat: config.Heartbeat}, station.Log))
	station.Log.Info("websocket", "path", config.Path, "appliances", config.BackendPath)
}

// readOperatorFile reads a file that ends. A pipe that nobody writes to would hold up this reload and all after it.
func readOperatorFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is no ordinary file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, operatorfile.MaxBytes+1))
}

// matchCommand is the commands that show what rules do, without an agent.
func matchCommand(withFileFlags func(*cobra.Command) *cobra.Command, files *fileSource) *cobra.Command {
	var asJSON bool
	of := func(use, short string, do func(c *cobra.Command, station *httpagent.Station, set *rules.Set) (any, error)) *cobra.Command {
		c := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			station, err := files.readStation()
			if err != nil {
				return err
			}
			file := fileSource{files.configPath, args[0]}
			judge, err := file.rules(station)
			if err != nil {
				return err
			}
			set, ok := judge.(*rules.Set)
			if !ok { // an empty file
				set, _ = rules.Compile(nil, station.Deployment(), 0)
			}
			said, err := do(c, station, set)
			if err == nil && asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(said)
			} else if err == nil {
				_, err = fmt.Fprint(c.OutOrStdout(), said)
			}
			return err
		}}
		c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
		return withFileFlags(c)
	}
	group := &cobra.Command{Use: "match", Short: "check, explain and time the operator's rules"}
	group.AddCommand(
		of("check", "say what each rule decides and what it may cost", func(_ *cobra.Command, _ *httpagent.Station, set *rules.Set) (any, error) {
			return newCheckReport(set), nil
		}),
		of("explain", "read a request on standard input and say what the rules make of it", func(c *cobra.Command, s *httpagent.Station, set *rules.Set) (any, error) {
			r, err := http.ReadRequest(bufio.NewReader(c.InOrStdin()))
			if err != nil {
				return nil, fmt.Errorf("the request cannot be read: %w", err)
			}
			if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<20)); err != nil {
				return nil, fmt.Errorf("the body cannot be read: %w", err)
			}
			return explain(set, s.Subject(r)), nil
		}),
		of("bench", "time the dearest message that the limits allow", func(_ *cobra.Command, _ *httpagent.Station, set *rules.Set) (any, error) {
			return benchmark(set), nil
		}))
	return group
}

// checkReport is what check says.
type checkReport struct {
	MaxTime time.Duration     `json:"bound_ns"`
	Rules   []rules.RuleState `json:"rules"`
}

func newCheckReport(set *rules.Set) checkReport { return checkReport{set.Bound(), set.Rules()} }

func (v checkReport) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tDECIDES\tFOUND BY\tAT MOST")
	for _, r := range v.Rules {
		found := r.IndexedBy
		if found == "" {
			found = "always run"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Name, r.Outputs, found, r.Bound)
	}
	w.Flush()
	fmt.Fprintf(&text, "%d rules; one message takes %s at most\n", len(v.Rules), v.MaxTime)
	return text.String()
}

// explanation is what became of one message.
type explanation struct {
	Evaluated []evaluation  `json:"tried"`
	Rule      string        `json:"rule,omitempty"`
	Workload  string        `json:"workload,omitempty"`
	Key       string        `json:"key,omitempty"`
	Customer  string        `json:"customer,omitempty"`
	Cost      time.Duration `json:"cost_ns,omitempty"`
	Rejected  string        `json:"refused,omitempty"`
	MaxTime   time.Duration `json:"bound_ns"`
	Elapsed   time.Duration `json:"took_ns"`
}

type evaluation struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"matched"`
	Error   string `json:"error,omitempty"`
}

func explain(set *rules.Set, subject match.Subject) explanation {
	judgement, steps := set.Explain(subject)
	began := time.Now()
	set.Judge(subject) // the second time, as an agent judges its second message
	result := explanation{Evaluated: []evaluation{}, Rule: judgement.Rule, Workload: judgement.Workload, Key: judgement.Key, Customer: judgement.Customer, Cost: judgement.Cost, MaxTime: set.Bound(),
		Elapsed: time.Since(began)}
	if judgement.Refused != nil {
		result.Rejected = judgement.Refused.Error()
	}
	for _, s := range steps {
		x := evaluation{Rule: s.Rule, Matched: s.Matched}
		if s.Err != nil {
			x.Error = s.Err.Error()
		}
		result.Evaluated = append(result.Evaluated, x)
	}
	return result
}

func (e explanation) String() string {
	var text strings.Builder
	for _, s := range e.Evaluated {
		said := "does not match"
		if s.Matched {
			said = "matches"
		}
		if s.Error != "" {
			said += ": " + s.Error
		}
		fmt.Fprintf(&text, "%s %s\n", s.Rule, said)
	}
	switch {
	case e.Rejected != "":
		fmt.Fprintf(&text, "refused: %s\n", e.Rejected)
	case e.Rule == "":
		fmt.Fprintln(&text, "no rule matches: the protocol's own words hold")
	}
	for _, x := range [][2]string{{"workload", e.Workload}, {"key", e.Key}, {"customer", e.Customer}} {
		if x[1] != "" {
			fmt.Fprintf(&text, "%s = %q\n", x[0], x[1])
		}
	}
	if e.Cost > 0 {
		fmt.Fprintf(&text, "cost = %s\n", e.Cost)
	}
	fmt.Fprintf(&text, "%d rules run in %s, at most %s\n", len(e.Evaluated), e.Elapsed, e.MaxTime)
	return text.String()
}

// benchmarkReport is how long judging takes here.
type benchmarkReport struct {
	MaxTime   time.Duration `json:"bound_ns"`
	WorstCase time.Duration `json:"dearest_ns"` // mean for the dearest message that the cost model can make up
	Bytes     uint64        `json:"bytes"`      // allocated for it
}

func (m benchmarkReport) String() string {
	return fmt.Sprintf("the dearest message takes %s and %d bytes here; bound %s\n", m.WorstCase, m.Bytes, m.MaxTime)
}

func benchmark(set *rules.Set) benchmarkReport {
	const minDuration = 100 * time.Millisecond // some thousands of messages
	subject := set.WorstCaseSubject()
	set.Judge(subject)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, n := time.Now(), 0
	for ; time.Since(began) < minDuration; n++ {
		set.Judge(subject)
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return benchmarkReport{set.Bound(), took / time.Duration(n), (after.TotalAlloc - before.TotalAlloc) / uint64(n)}
}

// printError tells an error as its place, what is wrong, and the line with a mark below it.
func printError(out io.Writer, err error) {
	var parseError *operatorfile.ParseError
	var joined interface{ Unwrap() []error }
	switch {
	case errors.As(err, &joined):
		for _, e := range joined.Unwrap() {
			printError(out, e)
		}
	case errors.As(err, &parseError):
		fmt.Fprintln(out, parseError)
		if c := parseError.Caret(); c != "" {
			fmt.Fprintln(out, c)
		}
	default:
		fmt.Fprintln(out, "sagelever:", err)
	}
}
