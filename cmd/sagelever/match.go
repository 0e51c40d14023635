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
	"sagelever/match"
	"sagelever/match/rules"
	"sagelever/operator"
	"sagelever/pool"
	"sagelever/wsagent"
)

// withRules gives the commands of a program that carries the rules' language.
func withRules(named func(*cobra.Command) *cobra.Command, from *source) []*cobra.Command {
	return []*cobra.Command{matching(named, from)}
}

// load reads the operator's file for a station: its rules, nil if there are none, and how the fronts that it switches on
// are mounted on an agent, nil if there are none. They end with the context.
func (s source) load(station *httpagent.Station) (match.Judge, mounting, error) {
	if s.operator == "" {
		return nil, nil, nil
	}
	data, err := readOperator(s.operator)
	if err != nil {
		return nil, nil, err
	}
	plan, err := operator.Read(s.operator, data, station.Deployment())
	if err != nil {
		return nil, nil, err
	}
	var judge match.Judge
	if plan.Set != nil {
		judge = plan.Set
	}
	if plan.WebSocket.Path == "" {
		return judge, nil, nil
	}
	return judge, func(ctx context.Context, a *httpagent.Agent) { mountWebSocket(ctx, a, station, plan.WebSocket) }, nil
}

// mountWebSocket puts the WebSocket front beside HTTP.
func mountWebSocket(ctx context.Context, a *httpagent.Agent, station *httpagent.Station, w operator.WebSocket) {
	bounds := pool.Usual
	bounds.Each = w.Links
	if sockets := station.Limits.Sockets; sockets > 0 {
		bounds.All = max(sockets/4, 1) // a quarter: clients and HTTP's connections have the rest
	}
	if w.Appliances == "" {
		w.Appliances = w.Path
	}
	links := wsagent.NewLinks(ctx, w.Appliances, bounds, uint64(station.Seed), station.Log)
	a.OnList(func(places []httpagent.Place) {
		lines := make([]wsagent.Listed, len(places))
		for i, p := range places {
			lines[i] = wsagent.Listed(p)
		}
		links.List(lines)
	})
	a.Mount(w.Path, wsagent.NewFront(a, links, wsagent.Limits{InFlight: w.InFlight, All: int64(w.All), Unsent: w.Unsent, Heartbeat: w.Heartbeat}, station.Log))
	station.Log.Info("websocket", "path", w.Path, "appliances", w.Appliances)
}

// readOperator reads a file that ends. A pipe that nobody writes to would hold up this reload and all after it.
func readOperator(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is no ordinary file", file)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, operator.MostBytes+1))
}

// matching is the commands that show what rules do, without an agent.
func matching(named func(*cobra.Command) *cobra.Command, from *source) *cobra.Command {
	var asJSON bool
	of := func(use, short string, do func(c *cobra.Command, station *httpagent.Station, set *rules.Set) (any, error)) *cobra.Command {
		c := &cobra.Command{Use: use + " FILE", Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
			station, err := from.station()
			if err != nil {
				return err
			}
			file := source{from.config, args[0]}
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
		return named(c)
	}
	group := &cobra.Command{Use: "match", Short: "check, explain and time the operator's rules"}
	group.AddCommand(
		of("check", "say what each rule decides and what it may cost", func(_ *cobra.Command, _ *httpagent.Station, set *rules.Set) (any, error) {
			return newVerdict(set), nil
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
			return measure(set), nil
		}))
	return group
}

// verdict is what check says.
type verdict struct {
	Bound time.Duration     `json:"bound_ns"`
	Rules []rules.RuleState `json:"rules"`
}

func newVerdict(set *rules.Set) verdict { return verdict{set.Bound(), set.Rules()} }

func (v verdict) String() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tDECIDES\tFOUND BY\tAT MOST")
	for _, r := range v.Rules {
		found := r.Found
		if found == "" {
			found = "always run"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Name, r.Types, found, r.Bound)
	}
	w.Flush()
	fmt.Fprintf(&text, "%d rules; one message takes %s at most\n", len(v.Rules), v.Bound)
	return text.String()
}

// explained is what became of one message.
type explained struct {
	Tried    []tried       `json:"tried"`
	Rule     string        `json:"rule,omitempty"`
	Workload string        `json:"workload,omitempty"`
	Key      string        `json:"key,omitempty"`
	Customer string        `json:"customer,omitempty"`
	Cost     time.Duration `json:"cost_ns,omitempty"`
	Refused  string        `json:"refused,omitempty"`
	Bound    time.Duration `json:"bound_ns"`
	Took     time.Duration `json:"took_ns"`
}

type tried struct {
	Rule    string `json:"rule"`
	Matched bool   `json:"matched"`
	Error   string `json:"error,omitempty"`
}

func explain(set *rules.Set, of match.Subject) explained {
	j, steps := set.Explain(of)
	began := time.Now()
	set.Judge(of) // the second time, as an agent judges its second message
	e := explained{Tried: []tried{}, Rule: j.Rule, Workload: j.Workload, Key: j.Key, Customer: j.Customer, Cost: j.Cost, Bound: set.Bound(),
		Took: time.Since(began)}
	if j.Refused != nil {
		e.Refused = j.Refused.Error()
	}
	for _, s := range steps {
		x := tried{Rule: s.Rule, Matched: s.Matched}
		if s.Err != nil {
			x.Error = s.Err.Error()
		}
		e.Tried = append(e.Tried, x)
	}
	return e
}

func (e explained) String() string {
	var text strings.Builder
	for _, s := range e.Tried {
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
	case e.Refused != "":
		fmt.Fprintf(&text, "refused: %s\n", e.Refused)
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
	fmt.Fprintf(&text, "%d rules run in %s, at most %s\n", len(e.Tried), e.Took, e.Bound)
	return text.String()
}

// measured is how long judging takes here.
type measured struct {
	Bound   time.Duration `json:"bound_ns"`
	Dearest time.Duration `json:"dearest_ns"` // mean for the dearest message that the cost model can make up
	Bytes   uint64        `json:"bytes"`      // allocated for it
}

func (m measured) String() string {
	return fmt.Sprintf("the dearest message takes %s and %d bytes here; bound %s\n", m.Dearest, m.Bytes, m.Bound)
}

func measure(set *rules.Set) measured {
	const enough = 100 * time.Millisecond // some thousands of messages
	of := set.Dearest()
	set.Judge(of)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began, n := time.Now(), 0
	for ; time.Since(began) < enough; n++ {
		set.Judge(of)
	}
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	return measured{set.Bound(), took / time.Duration(n), (after.TotalAlloc - before.TotalAlloc) / uint64(n)}
}

// say tells an error as its place, what is wrong, and the line with a mark below it.
func say(out io.Writer, err error) {
	var f *operator.Fault
	var list interface{ Unwrap() []error }
	switch {
	case errors.As(err, &list):
		for _, e := range list.Unwrap() {
			say(out, e)
		}
	case errors.As(err, &f):
		fmt.Fprintln(out, f)
		if c := f.Caret(); c != "" {
			fmt.Fprintln(out, c)
		}
	default:
		fmt.Fprintln(out, "sagelever:", err)
	}
}
