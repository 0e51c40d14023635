// Package simwire reads and writes the simulator's line protocol in the project's own words. It decides nothing.
package simwire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"sagelever/agent"
	"sagelever/terms"
)

// Addressed is an event for one instance; Start and Stop are set for those that begin and end it.
type Addressed struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    agent.Event
}

// Start is what a new instance is handed.
type Start struct {
	Seed  uint64
	Terms map[string]any
}

// Batch is all that happens at one moment of the wire's clock.
type Batch struct {
	Clock  time.Duration
	Events []Addressed
}

// Reader reads batches. It keeps the numbered pools and the clock at which each instance began.
type Reader struct {
	in     *bufio.Reader
	line   int
	pools  map[int][]poolEntry
	starts map[string]time.Duration
}

type poolEntry struct {
	agent.Appliance
	clocked bool
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), pools: map[int][]poolEntry{}, starts: map[string]time.Duration{}}
}

func (r *Reader) next() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", err
	}
	r.line++
	return strings.TrimRight(s, "\r\n"), nil
}

func (r *Reader) wrong(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

// Read gives the next batch, or io.EOF when the input has ended between batches.
func (r *Reader) Read() (*Batch, error) {
	text, err := r.next()
	for err == nil && text == "" {
		text, err = r.next()
	}
	if err != nil {
		return nil, err
	}
	f := r.fields(text)
	if f.word("message") != "MARK" {
		return nil, r.wrong("expected MARK, got %q", text)
	}
	b := &Batch{Clock: f.span("clock")}
	if f.done(); f.err != nil {
		return nil, f.err
	}
	for {
		if text, err = r.next(); err == io.EOF {
			return nil, r.wrong("input ended inside a batch")
		} else if err != nil {
			return nil, err
		}
		if text == "COMMIT" {
			return b, nil
		}
		if strings.HasPrefix(text, "POOL ") {
			if err := r.readPool(text); err != nil {
				return nil, err
			}
			continue
		}
		ev, err := r.event(text, b.Clock)
		if err != nil {
			return nil, err
		}
		b.Events = append(b.Events, ev)
	}
}

func (r *Reader) readPool(text string) error {
	f := r.fields(text)
	f.word("message")
	table, count := int(f.whole("table")), int(f.whole("lines"))
	if f.done(); f.err != nil {
		return f.err
	}
	if table < 0 || table > 15 || count < 0 {
		return r.wrong("POOL number or count out of range")
	}
	entries := make([]poolEntry, 0, min(count, 1<<16))
	for i := 0; i < count; i++ {
		text, err := r.next()
		if err == io.EOF {
			return r.wrong("input ended inside a POOL")
		} else if err != nil {
			return err
		}
		f := r.fields(text)
		if f.word("message") != "APPLIANCE" {
			return r.wrong("expected APPLIANCE, got %q", text)
		}
		var e poolEntry
		e.Build = agent.Build(f.whole("image"))
		e.Group = agent.Group(f.whole("group"))
		e.Kind = agent.MachineKind(f.word("flavor"))
		e.Standing = agent.Standing(f.oneOf("health", "up", "draining", "removed"))
		e.ID = agent.ApplianceID(f.whole("appliance"))
		e.Started = f.span("startTime")
		e.clocked = e.Started != 0
		e.Place = agent.Place(f.word("regionPart"))
		e.Share = f.number("share")
		if f.done(); f.err != nil {
			return f.err
		}
		entries = append(entries, e)
	}
	r.pools[table] = entries
	return nil
}

var outcomes = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"}

func (r *Reader) event(text string, clock time.Duration) (Addressed, error) {
	f := r.fields(text)
	name := f.word("message")
	ev := Addressed{Instance: f.word("agent")}
	began, known := r.starts[ev.Instance]
	switch name {
	case "HELLO":
		ev.Start = &Start{Seed: f.natural("randomSeed")}
		terms, err := terms.Read([]byte(f.tail()))
		if err != nil {
			return ev, r.wrong("HELLO config: %v", err)
		}
		// The wire's page words the rule on keys by answers that the agent has had.
		terms["trial.unseen"] = false
		terms["discovery.unsure"] = false // each call has one answer
		ev.Start.Terms, r.starts[ev.Instance], known = terms, clock, true
	case "TEARDOWN":
		ev.Stop = true
		delete(r.starts, ev.Instance)
	case "PEERS_KNOWN":
		n := agent.ListNews{Kind: agent.ListKind(f.oneOf("kind", "diff", "snapshot", "disk", "error"))}
		n.Version = f.whole("index")
		table := int(f.whole("table"))
		if n.Kind != agent.Unavailable && f.err == nil {
			pool, ok := r.pools[table]
			if !ok {
				return ev, r.wrong("PEERS_KNOWN names POOL %d, which was not given", table)
			}
			n.Entries = make([]agent.Appliance, len(pool))
			for i, e := range pool {
				n.Entries[i] = e.Appliance
				n.Entries[i].Started = agent.LongAgo
				if e.clocked {
					n.Entries[i].Started = e.Started - began
				}
			}
		}
		ev.Event = n
	case "DEMAND":
		t := agent.Taken{ID: agent.TransactionID(f.word("corr")), Workload: agent.Workload(f.word("kind")),
			Left: f.span("budget"), Cost: f.span("work"), Key: agent.Key(f.word("nameKey"))}
		bits := f.whole("attrs")
		t.CostKnown, t.Repeat, t.Write = bits&1 != 0 && t.Cost > 0, bits&2 != 0, bits&4 != 0
		if t.Customer = agent.Customer(f.word("customer")); t.Customer == "0" {
			t.Customer = ""
		}
		ev.Event = t
	case "OPENED":
		ev.Event = agent.Begun{ID: agent.TransactionID(f.word("corr")), Appliance: f.appliance(),
			Send: agent.SendNo(f.whole("roundNo")), After: f.span("latency")}
	case "RESULT":
		ev.Event = agent.Ended{ID: agent.TransactionID(f.word("corr")), Appliance: f.appliance(),
			After: f.span("latency"), Send: agent.SendNo(f.whole("roundNo")), Closed: f.flag("ended"),
			Outcome: agent.Outcome(f.oneOf("status", outcomes...)), Load: f.pairs("stats")}
	case "WITHDRAWN":
		ev.Event = agent.ClientLeft{ID: agent.TransactionID(f.word("corr"))}
	case "WAKEUP":
		ev.Event = agent.Due{Timer: agent.TimerID(f.natural("ctx"))}
	case "PROBE_DONE":
		ev.Event = agent.Probed{Appliance: f.appliance(), Outcome: agent.Outcome(f.oneOf("status", outcomes...)),
			After: f.span("latency"), Load: f.pairs("stats")}
	case "MAIL":
		ev.Event = agent.Heard{From: agent.PeerNo(f.whole("author")), Data: f.bytes("data")}
	case "TRIAL_NEWS":
		n := agent.TrialNews{Answer: agent.Answer(f.oneOf("status", "pass", "stale_send", "no_room", "fault", "too_slow"))}
		n.Stage, n.Build = agent.Stage(f.whole("wave")), agent.Build(f.whole("rel"))
		n.Age, n.Cap = f.span("old"), f.number("cap")
		n.ToVote, n.Phase = f.whole("reason") == 1, agent.Phase(f.whole("standing"))
		ev.Event = n
	case "SCORECARD":
		ev.Event = agent.Tally{Mean: f.span("latency"), Workload: agent.Workload(f.word("kind")),
			Failed: int(f.whole("failed")), Build: agent.Build(f.whole("rel")), Age: f.span("old"),
			Sends: int(f.whole("attempts"))}
	case "FLAGGED":
		ev.Event = agent.Complaint{Appliance: f.appliance(), Workload: agent.Workload(f.word("kind")), Age: f.span("old")}
	default:
		return ev, r.wrong("unknown message %q", name)
	}
	if f.done(); f.err != nil {
		return ev, f.err
	}
	if !known {
		return ev, r.wrong("%s for %q, which has not started", name, ev.Instance)
	}
	return ev, nil
}

// fields walks over the parts of one line and keeps the first error.
type fields struct {
	r    *Reader
	rest string
	more bool
	err  error
}

func (r *Reader) fields(text string) *fields { return &fields{r: r, rest: text, more: true} }

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = f.r.wrong(format, args...)
	}
}

// word gives the next part; "-" is an absent one and comes out empty.
func (f *fields) word(name string) string {
	if f.err == nil && !f.more {
		f.fail("%s is missing", name)
	}
	if f.err != nil {
		return ""
	}
	part, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.more = rest, more
	if part == "" {
		f.fail("%s is empty", name)
	}
	if part == "-" {
		return ""
	}
	return part
}

func (f *fields) tail() string {
	s := f.rest
	f.rest, f.more = "", false
	return s
}

func (f *fields) done() {
	if f.err == nil && f.more {
		f.fail("more parts than expected: %q", f.rest)
	}
}

func (f *fields) number(name string) float64 {
	s := f.word(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail("%s is no number: %q", name, s)
	}
	return v
}

func (f *fields) span(name string) time.Duration { return terms.Millis(f.number(name)) }

func (f *fields) whole(name string) int64 {
	s := f.word(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail("%s is no whole number: %q", name, s)
	}
	return v
}

func (f *fields) natural(name string) uint64 {
	s := f.word(name)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		f.fail("%s is no whole number from 0: %q", name, s)
	}
	return v
}

func (f *fields) flag(name string) bool { return f.oneOf(name, "0", "1") == 1 }

func (f *fields) appliance() agent.ApplianceID {
	v := f.natural("appliance")
	if v > math.MaxUint32 {
		f.fail("appliance is out of range: %d", v)
	}
	return agent.ApplianceID(v)
}

func (f *fields) oneOf(name string, words ...string) int {
	s := f.word(name)
	for i, w := range words {
		if s == w {
			return i
		}
	}
	f.fail("%s is none of %v: %q", name, words, s)
	return 0
}

func (f *fields) bytes(name string) []byte {
	b, err := hex.DecodeString(f.word(name))
	if err != nil {
		f.fail("%s is no hex: %v", name, err)
	}
	return b
}

func (f *fields) pairs(name string) map[string]float64 {
	s := f.word(name)
	if s == "" {
		return nil
	}
	out := map[string]float64{}
	for _, pair := range strings.Split(s, ",") {
		k, v, ok := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(v, 64)
		if !ok || err != nil {
			f.fail("%s holds a bad pair: %q", name, pair)
			return nil
		}
		out[k] = x
	}
	return out
}

func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d.Microseconds())/1000, 'f', -1, 64)
}

// Write sends the reply to one batch: groups of actions, each for one instance.
func Write(w *bufio.Writer, replies []Reply) error {
	for _, r := range replies {
		for _, a := range r.Actions {
			writeAction(w, r.Instance, a)
		}
	}
	w.WriteString("YIELD\n")
	return w.Flush()
}

// Reply is what one instance wants done.
type Reply struct {
	Instance string
	Actions  []agent.Action
}

// Bug is written in place of an action when the module broke.
type Bug struct{ Text string }

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }

func writeAction(w *bufio.Writer, in string, a agent.Action) {
	switch a := a.(type) {
	case agent.Send:
		fmt.Fprintf(w, "PLACE %s %s %d %s\n", in, a.ID, a.Appliance, formatMillis(a.TimeOut))
	case agent.CallOff:
		fmt.Fprintf(w, "CANCEL %s %s %d\n", in, a.ID, a.Send)
	case agent.Defer:
		fmt.Fprintf(w, "BOUNCE %s %s %s\n", in, a.ID, formatMillis(a.Wait))
	case agent.BreakOff:
		fmt.Fprintf(w, "FINISH_ERROR %s %s\n", in, a.ID)
	case agent.Wake:
		fmt.Fprintf(w, "SCHEDULE %s %s %d\n", in, formatMillis(a.After), a.Timer)
	case agent.Probe:
		fmt.Fprintf(w, "INSPECT %s %d\n", in, a.Appliance)
	case agent.FreeLinks:
		fmt.Fprintf(w, "FREE_LINKS %s %d\n", in, a.Appliance)
	case agent.Tell:
		to := strconv.Itoa(int(a.To))
		if a.All {
			to = "all"
		}
		data := hex.EncodeToString(a.Data)
		if data == "" {
			data = "-"
		}
		fmt.Fprintf(w, "WRITE_PEER %s %s %s\n", in, to, data)
	case agent.Subscribe:
		on := 0
		if a.On {
			on = 1
		}
		fmt.Fprintf(w, "TAIL %s %d\n", in, on)
	case agent.Fetch:
		fmt.Fprintf(w, "GET_LIST %s\n", in)
	case agent.Vote:
		fmt.Fprintf(w, "VOTE %s %d %d %d\n", in, a.Build, a.Stage, a.Verdict)
	case agent.Log:
		fmt.Fprintf(w, "LOG %s %s\n", in, oneLine(a.Text))
	case Bug:
		fmt.Fprintf(w, "BUG %s %s\n", in, oneLine(a.Text))
	default:
		panic(fmt.Sprintf("no wire form for %T", a))
	}
}
