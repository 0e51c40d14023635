package protocol

import (
	"time"

	"sagelever/internal/agent/api"
	"sagelever/internal/settings/deployment"
)

// outcomeWords lists the simulator's words for outcomes, indexed by api.Outcome.
var outcomeWords = []string{"pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"}

// eventParsers parse the parts of an event's line that follow the instance. Each parser must read them in the order in
// which they are on the line, which is therefore the order of the fields in the struct literals.
var eventParsers = map[string]func(*fieldParser) api.Event{
	"DEMAND": func(p *fieldParser) api.Event { return p.transactionAccepted() },
	"OPENED": func(p *fieldParser) api.Event {
		return api.ResponseStarted{
			Transaction: p.transactionID(),
			Backend:     p.backendID(),
			Attempt:     p.attemptNumber(),
			Elapsed:     p.milliseconds("latency"),
		}
	},
	"RESULT": func(p *fieldParser) api.Event {
		return api.AttemptEnded{
			Transaction:     p.transactionID(),
			Backend:         p.backendID(),
			Elapsed:         p.milliseconds("latency"),
			Attempt:         p.attemptNumber(),
			TransactionDone: p.boolean("ended"),
			Outcome:         p.outcome(),
			Load:            p.keyValues("stats"),
		}
	},
	"WITHDRAWN": func(p *fieldParser) api.Event { return api.TransactionClosed{Transaction: p.transactionID()} },
	"WAKEUP":    func(p *fieldParser) api.Event { return api.TimerFired{Timer: api.TimerID(p.unsigned("ctx"))} },
	"PROBE_DONE": func(p *fieldParser) api.Event {
		return api.HealthChecked{
			Backend: p.backendID(),
			Outcome: p.outcome(),
			Elapsed: p.milliseconds("latency"),
			Load:    p.keyValues("stats"),
		}
	},
	"MAIL": func(p *fieldParser) api.Event {
		return api.MessageReceived{From: api.PeerNumber(p.integer("author")), Data: p.hexBytes("data")}
	},
	"TRIAL_NEWS": func(p *fieldParser) api.Event { return p.rolloutUpdate() },
	"SCORECARD": func(p *fieldParser) api.Event {
		return api.ReleaseTally{
			MeanLatency: p.milliseconds("latency"),
			Workload:    p.workload(),
			Failed:      int(p.integer("failed")),
			Build:       api.Build(p.integer("rel")),
			Age:         p.milliseconds("old"),
			Attempts:    int(p.integer("attempts")),
		}
	},
	"FLAGGED": func(p *fieldParser) api.Event {
		return api.Complaint{Backend: p.backendID(), Workload: p.workload(), Age: p.milliseconds("old")}
	},
}

// parseEvent parses the line of an event.
func (r *Reader) parseEvent(line string, clock time.Duration) (InstanceEvent, error) {
	parser := r.newFieldParser(line)
	name := parser.word("message")
	event := InstanceEvent{Instance: parser.word("agent")}
	startedAt, known := r.startedAt[event.Instance]
	var err error
	switch name {
	case "HELLO":
		event.Start, err = parser.start()
		r.startedAt[event.Instance], known = clock, true
	case "TEARDOWN":
		event.Stop = true
		delete(r.startedAt, event.Instance)
	case "PEERS_KNOWN":
		event.Event, err = parser.backendUpdate(startedAt)
	default:
		parse := eventParsers[name]
		if parse == nil {
			return event, r.errorf("unknown message %q", name)
		}
		event.Event = parse(parser)
	}
	if err != nil {
		return event, err
	}
	if err := parser.end(); err != nil {
		return event, err
	}
	if !known {
		return event, r.errorf("%s for %q, which has not started", name, event.Instance)
	}
	return event, nil
}

// start reads the seed and the settings of a new instance.
func (f *fieldParser) start() (*Start, error) {
	start := &Start{Seed: f.unsigned("randomSeed")}
	settings, err := deployment.Parse([]byte(f.remainder()))
	if err != nil {
		return nil, f.reader.errorf("HELLO config: %v", err)
	}
	settings["trial.unseen"] = false     // the simulator's rule for keys considers only answers that the agent received
	settings["discovery.unsure"] = false // the simulator answers each call
	start.Settings = settings
	return start, nil
}

// backendUpdate reads a list of backends whose entries are in a table that was sent before. The start times of the
// backends are converted to times since the start of the instance.
func (f *fieldParser) backendUpdate(startedAt time.Duration) (api.Event, error) {
	update := api.BackendUpdate{Kind: api.UpdateKind(f.enum("kind", "diff", "snapshot", "disk", "error"))}
	update.Version = f.integer("index")
	table := int(f.integer("table"))
	if update.Kind == api.UpdateUnavailable || f.err != nil {
		return update, nil
	}
	entries, ok := f.reader.backendTables[table]
	if !ok {
		return nil, f.reader.errorf("PEERS_KNOWN names POOL %d, which was not given", table)
	}
	update.Backends = make([]api.Backend, len(entries))
	for i, entry := range entries {
		update.Backends[i] = entry.Backend
		update.Backends[i].Started = api.UnknownStart
		if entry.hasStart {
			update.Backends[i].Started = entry.Started - startedAt
		}
	}
	return update, nil
}

// Bits of the attributes of a transaction.
const (
	attributeCostKnown = 1 << iota
	attributeIsRetry
	attributeIsWrite
)

func (f *fieldParser) transactionAccepted() api.TransactionAccepted {
	accepted := api.TransactionAccepted{
		ID:       f.transactionID(),
		Workload: f.workload(),
		Timeout:  f.milliseconds("budget"),
		Cost:     f.milliseconds("work"),
		Key:      api.AffinityKey(f.word("nameKey")),
	}
	attributes := f.integer("attrs")
	accepted.CostKnown = attributes&attributeCostKnown != 0 && accepted.Cost > 0
	accepted.IsRetry = attributes&attributeIsRetry != 0
	accepted.IsWrite = attributes&attributeIsWrite != 0
	const noCustomer = "0"
	if customer := f.word("customer"); customer != noCustomer {
		accepted.Customer = api.Customer(customer)
	}
	return accepted
}

func (f *fieldParser) rolloutUpdate() api.RolloutUpdate {
	const answersVote = 1
	return api.RolloutUpdate{
		Result:      api.VoteResult(f.enum("status", "pass", "stale_send", "no_room", "fault", "too_slow")),
		Stage:       api.Stage(f.integer("wave")),
		Build:       api.Build(f.integer("rel")),
		Age:         f.milliseconds("old"),
		Cap:         f.float("cap"),
		AnswersVote: f.integer("reason") == answersVote,
		Phase:       api.Phase(f.integer("standing")),
	}
}

func (f *fieldParser) transactionID() api.TransactionID { return api.TransactionID(f.word("corr")) }
func (f *fieldParser) workload() api.Workload           { return api.Workload(f.word("kind")) }
func (f *fieldParser) outcome() api.Outcome             { return api.Outcome(f.enum("status", outcomeWords...)) }

func (f *fieldParser) attemptNumber() api.AttemptNumber {
	return api.AttemptNumber(f.integer("roundNo"))
}
