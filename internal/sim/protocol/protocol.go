// Package simwire reads and writes the simulator's line protocol in the project's own words. It decides nothing.
package protocol

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/settings/deployment"
)

// InstanceEvent is an event for one instance; Start and Stop are set for those that begin and end it.
type InstanceEvent struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    api.Event
}

// Start is what a new instance is handed.
type Start struct {
	Seed     uint64
	Settings map[string]any
}

// Batch is all that happens at one moment of the wire's clock.
type Batch struct {
	Clock  time.Duration
	Events []InstanceEvent
}

// Reader reads batches. It keeps the numbered pools and the clock at which each instance began.
type Reader struct {
	in            *bufio.Reader
	lineNumber    int
	backendTables map[int][]backendEntry
	startedAt     map[string]time.Duration
}

type backendEntry struct {
	api.Backend
	hasStart bool
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), backendTables: map[int][]backendEntry{}, startedAt: map[string]time.Duration{}}
}

func (r *Reader) nextLine() (string, error) {
	s, err := r.in.ReadString('\n')
	if err == io.EOF && s == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", err
	}
	r.lineNumber++
	return strings.TrimRight(s, "\r\n"), nil
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.lineNumber, fmt.Sprintf(format, args...))
}

// Read gives the next batch, or io.EOF when the input has ended between batches.
func (r *Reader) Read() (*Batch, error) {
	text, err := r.nextLine()
	for err == nil && text == "" {
		text, err = r.nextLine()
	}
	if err != nil {
		return nil, err
	}
	parser := r.newFieldParser(text)
	if parser.word("message") != "MARK" {
		return nil, r.errorf("expected MARK, got %q", text)
	}
	batch := &Batch{Clock: parser.milliseconds("clock")}
	if parser.expectEnd(); parser.err != nil {
		return nil, parser.err
	}
	for {
		if text, err = r.nextLine(); err == io.EOF {
			return nil, r.errorf("input ended inside a batch")
		} else if err != nil {
			return nil, err
		}
		if text == "COMMIT" {
			return batch, nil
		}
		if strings.HasPrefix(text, "POOL ") {
			if err := r.readBackendTable(text); err != nil {
				return nil, err
			}
			continue
		}
		event, err := r.parseEvent(text, batch.Clock)
		if err != nil {
			return nil, err
		}
		batch.Events = append(batch.Events, event)
	}
}

func (r *Reader) readBackendTable(text string) error {
	parser := r.newFieldParser(text)
	parser.word("message")
	table, count := int(parser.integer("table")), int(parser.integer("lines"))
	if parser.expectEnd(); parser.err != nil {
		return parser.err
	}
	if table < 0 || table > 15 || count < 0 {
		return r.errorf("POOL number or count out of range")
	}
	entries := make([]backendEntry, 0, min(count, 1<<16))
	for i := 0; i < count; i++ {
		text, err := r.nextLine()
		if err == io.EOF {
			return r.errorf("input ended inside a POOL")
		} else if err != nil {
			return err
		}
		parser := r.newFieldParser(text)
		if parser.word("message") != "APPLIANCE" {
			return r.errorf("expected APPLIANCE, got %q", text)
		}
		var entry backendEntry
		entry.Build = api.Build(parser.integer("image"))
		entry.Cell = api.Cell(parser.integer("group"))
		entry.MachineType = api.MachineType(parser.word("flavor"))
		entry.State = api.BackendState(parser.enum("health", "up", "draining", "removed"))
		entry.ID = api.BackendID(parser.integer("appliance"))
		entry.Started = parser.milliseconds("startTime")
		entry.hasStart = entry.Started != 0
		entry.Zone = api.Zone(parser.word("regionPart"))
		entry.Weight = parser.float("share")
		if parser.expectEnd(); parser.err != nil {
			return parser.err
		}
		entries = append(entries, entry)
	}
	r.backendTables[table] = entries
	return nil
}

var outcomeWords = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"}

func (r *Reader) parseEvent(text string, clock time.Duration) (InstanceEvent, error) {
	parser := r.newFieldParser(text)
	name := parser.word("message")
	event := InstanceEvent{Instance: parser.word("agent")}
	startedAt, known := r.startedAt[event.Instance]
	switch name {
	case "HELLO":
		event.Start = &Start{Seed: parser.unsigned("randomSeed")}
		parsed, err := deployment.Parse([]byte(parser.remainder()))
		if err != nil {
			return event, r.errorf("HELLO config: %v", err)
		}
		// The wire's page words the rule on keys by answers that the agent has had.
		parsed["trial.unseen"] = false
		parsed["discovery.unsure"] = false // each call has one answer
		event.Start.Settings, r.startedAt[event.Instance], known = parsed, clock, true
	case "TEARDOWN":
		event.Stop = true
		delete(r.startedAt, event.Instance)
	case "PEERS_KNOWN":
		update := api.BackendUpdate{Kind: api.UpdateKind(parser.enum("kind", "diff", "snapshot", "disk", "error"))}
		update.Version = parser.integer("index")
		table := int(parser.integer("table"))
		if update.Kind != api.UpdateUnavailable && parser.err == nil {
			pool, ok := r.backendTables[table]
			if !ok {
				return event, r.errorf("PEERS_KNOWN names POOL %d, which was not given", table)
			}
			update.Backends = make([]api.Backend, len(pool))
			for i, e := range pool {
				update.Backends[i] = e.Backend
				update.Backends[i].Started = api.UnknownStart
				if e.hasStart {
					update.Backends[i].Started = e.Started - startedAt
				}
			}
		}
		event.Event = update
	case "DEMAND":
		accepted := api.TransactionAccepted{ID: api.TransactionID(parser.word("corr")), Workload: api.Workload(parser.word("kind")),
			Timeout: parser.milliseconds("budget"), Cost: parser.milliseconds("work"), Key: api.AffinityKey(parser.word("nameKey"))}
		bits := parser.integer("attrs")
		accepted.CostKnown, accepted.IsRetry, accepted.IsWrite = bits&1 != 0 && accepted.Cost > 0, bits&2 != 0, bits&4 != 0
		if accepted.Customer = api.Customer(parser.word("customer")); accepted.Customer == "0" {
			accepted.Customer = ""
		}
		event.Event = accepted
	case "OPENED":
		event.Event = api.ResponseStarted{Transaction: api.TransactionID(parser.word("corr")), Backend: parser.backendID(),
			Attempt: api.AttemptNumber(parser.integer("roundNo")), Elapsed: parser.milliseconds("latency")}
	case "RESULT":
		event.Event = api.AttemptEnded{Transaction: api.TransactionID(parser.word("corr")), Backend: parser.backendID(),
			Elapsed: parser.milliseconds("latency"), Attempt: api.AttemptNumber(parser.integer("roundNo")), TransactionDone: parser.boolean("ended"),
			Outcome: api.Outcome(parser.enum("status", outcomeWords...)), Load: parser.keyValues("stats")}
	case "WITHDRAWN":
		event.Event = api.TransactionClosed{Transaction: api.TransactionID(parser.word("corr"))}
	case "WAKEUP":
		event.Event = api.TimerFired{Timer: api.TimerID(parser.unsigned("ctx"))}
	case "PROBE_DONE":
		event.Event = api.HealthChecked{Backend: parser.backendID(), Outcome: api.Outcome(parser.enum("status", outcomeWords...)),
			Elapsed: parser.milliseconds("latency"), Load: parser.keyValues("stats")}
	case "MAIL":
		event.Event = api.MessageReceived{From: api.PeerNumber(parser.integer("author")), Data: parser.hexBytes("data")}
	case "TRIAL_NEWS":
		update := api.RolloutUpdate{Result: api.VoteResult(parser.enum("status", "pass", "stale_send", "no_room", "fault", "too_slow"))}
		update.Stage, update.Build = api.Stage(parser.integer("wave")), api.Build(parser.integer("rel"))
		update.Age, update.Cap = parser.milliseconds("old"), parser.float("cap")
		update.AnswersVote, update.Phase = parser.integer("reason") == 1, api.Phase(parser.integer("standing"))
		event.Event = update
	case "SCORECARD":
		event.Event = api.ReleaseTally{MeanLatency: parser.milliseconds("latency"), Workload: api.Workload(parser.word("kind")),
			Failed: int(parser.integer("failed")), Build: api.Build(parser.integer("rel")), Age: parser.milliseconds("old"),
			Attempts: int(parser.integer("attempts"))}
	case "FLAGGED":
		event.Event = api.Complaint{Backend: parser.backendID(), Workload: api.Workload(parser.word("kind")), Age: parser.milliseconds("old")}
	default:
		return event, r.errorf("unknown message %q", name)
	}
	if parser.expectEnd(); parser.err != nil {
		return event, parser.err
	}
	if !known {
		return event, r.errorf("%s for %q, which has not started", name, event.Instance)
	}
	return event, nil
}

// fieldParser walks over the parts of one line and keeps the first error.
type fieldParser struct {
	reader *Reader
	rest   string
	more   bool
	err    error
}

func (r *Reader) newFieldParser(text string) *fieldParser {
	return &fieldParser{reader: r, rest: text, more: true}
}

func (f *fieldParser) fail(format string, args ...any) {
	if f.err == nil {
		f.err = f.reader.errorf(format, args...)
	}
}

// word gives the next part; "-" is an absent one and comes out empty.
func (f *fieldParser) word(name string) string {
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

func (f *fieldParser) remainder() string {
	s := f.rest
	f.rest, f.more = "", false
	return s
}

func (f *fieldParser) expectEnd() {
	if f.err == nil && f.more {
		f.fail("more parts than expected: %q", f.rest)
	}
}

func (f *fieldParser) float(name string) float64 {
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

func (f *fieldParser) milliseconds(name string) time.Duration {
	return deployment.FromMilliseconds(f.float(name))
}

func (f *fieldParser) integer(name string) int64 {
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

func (f *fieldParser) unsigned(name string) uint64 {
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

func (f *fieldParser) boolean(name string) bool { return f.enum(name, "0", "1") == 1 }

func (f *fieldParser) backendID() api.BackendID {
	v := f.unsigned("appliance")
	if v > math.MaxUint32 {
		f.fail("appliance is out of range: %d", v)
	}
	return api.BackendID(v)
}

func (f *fieldParser) enum(name string, words ...string) int {
	s := f.word(name)
	for i, w := range words {
		if s == w {
			return i
		}
	}
	f.fail("%s is none of %v: %q", name, words, s)
	return 0
}

func (f *fieldParser) hexBytes(name string) []byte {
	b, err := hex.DecodeString(f.word(name))
	if err != nil {
		f.fail("%s is no hex: %v", name, err)
	}
	return b
}

func (f *fieldParser) keyValues(name string) map[string]float64 {
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

// WriteReplies sends the reply to one batch: groups of actions, each for one instance.
func WriteReplies(w *bufio.Writer, replies []Reply) error {
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
	Actions  []api.Action
}

// PolicyFailure is written in place of an action when the module broke.
type PolicyFailure struct{ Text string }

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\r", " ").Replace(s) }

func writeAction(w *bufio.Writer, instance string, action api.Action) {
	switch action := action.(type) {
	case api.StartAttempt:
		fmt.Fprintf(w, "PLACE %s %s %d %s\n", instance, action.Transaction, action.Backend, formatMillis(action.Timeout))
	case api.CancelAttempt:
		fmt.Fprintf(w, "CANCEL %s %s %d\n", instance, action.Transaction, action.Attempt)
	case api.DeferTransaction:
		fmt.Fprintf(w, "BOUNCE %s %s %s\n", instance, action.Transaction, formatMillis(action.RetryAfter))
	case api.FailTransaction:
		fmt.Fprintf(w, "FINISH_ERROR %s %s\n", instance, action.Transaction)
	case api.SetTimer:
		fmt.Fprintf(w, "SCHEDULE %s %s %d\n", instance, formatMillis(action.After), action.Timer)
	case api.CheckHealth:
		fmt.Fprintf(w, "INSPECT %s %d\n", instance, action.Backend)
	case api.CloseIdleConnections:
		fmt.Fprintf(w, "FREE_LINKS %s %d\n", instance, action.Backend)
	case api.SendMessage:
		to := strconv.Itoa(int(action.To))
		if action.All {
			to = "all"
		}
		data := hex.EncodeToString(action.Data)
		if data == "" {
			data = "-"
		}
		fmt.Fprintf(w, "WRITE_PEER %s %s %s\n", instance, to, data)
	case api.WatchBackends:
		on := 0
		if action.On {
			on = 1
		}
		fmt.Fprintf(w, "TAIL %s %d\n", instance, on)
	case api.FetchBackends:
		fmt.Fprintf(w, "GET_LIST %s\n", instance)
	case api.CastVote:
		fmt.Fprintf(w, "VOTE %s %d %d %d\n", instance, action.Build, action.Stage, action.Verdict)
	case api.LogLine:
		fmt.Fprintf(w, "LOG %s %s\n", instance, oneLine(action.Text))
	case PolicyFailure:
		fmt.Fprintf(w, "BUG %s %s\n", instance, oneLine(action.Text))
	default:
		panic(fmt.Sprintf("no wire form for %T", action))
	}
}
