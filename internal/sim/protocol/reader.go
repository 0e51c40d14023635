package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"sagelever/internal/agent/api"
)

// InstanceEvent is an event for one instance. Start is set if the event starts the instance, and Stop if it stops the
// instance; otherwise Event is set.
type InstanceEvent struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    api.Event
}

// Start holds the parameters of a new instance.
type Start struct {
	Seed     uint64
	Settings map[string]any // in the form that policy.New takes
}

// Batch holds the events at one time of the simulator's clock.
type Batch struct {
	Clock  time.Duration
	Events []InstanceEvent
}

const (
	readBufferSize   = 1 << 20
	maxBackendTable  = 15      // highest number of a table
	maxPreallocation = 1 << 16 // maximum number of table entries that are allocated before they are read
)

// Reader reads batches. It stores the numbered tables of backends and the clock at which each instance started.
type Reader struct {
	in            *bufio.Reader
	lineNumber    int
	backendTables map[int][]backendEntry
	startedAt     map[string]time.Duration
}

// backendEntry is an entry of a table. Its start time is on the simulator's clock.
type backendEntry struct {
	api.Backend
	hasStart bool
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:            bufio.NewReaderSize(in, readBufferSize),
		backendTables: map[int][]backendEntry{},
		startedAt:     map[string]time.Duration{},
	}
}

// nextLine returns the next line without its line break, or io.EOF. The last line may lack a line break.
func (r *Reader) nextLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if err != nil && (!errors.Is(err, io.EOF) || line == "") {
		return "", err
	}
	r.lineNumber++
	return strings.TrimRight(line, "\r\n"), nil
}

// errorf returns an error that includes the number of the line that was read last.
func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.lineNumber, fmt.Sprintf(format, args...))
}

// Read returns the next batch, or io.EOF if the input has ended after a complete batch.
func (r *Reader) Read() (*Batch, error) {
	line, err := r.nextLine()
	for err == nil && line == "" {
		line, err = r.nextLine()
	}
	if err != nil {
		return nil, err
	}
	parser := r.newFieldParser(line)
	if parser.word("message") != "MARK" {
		return nil, r.errorf("expected MARK, got %q", line)
	}
	batch := &Batch{Clock: parser.milliseconds("clock")}
	if err := parser.end(); err != nil {
		return nil, err
	}
	for {
		line, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return nil, r.errorf("input ended inside a batch")
		}
		if err != nil {
			return nil, err
		}
		switch {
		case line == "COMMIT":
			return batch, nil
		case strings.HasPrefix(line, "POOL "):
			err = r.readBackendTable(line)
		default:
			err = r.readEvent(line, batch)
		}
		if err != nil {
			return nil, err
		}
	}
}

func (r *Reader) readEvent(line string, batch *Batch) error {
	event, err := r.parseEvent(line, batch.Clock)
	if err != nil {
		return err
	}
	batch.Events = append(batch.Events, event)
	return nil
}

// readBackendTable reads a numbered table, whose entries are on the lines that follow. It replaces an earlier table
// with the same number.
func (r *Reader) readBackendTable(line string) error {
	parser := r.newFieldParser(line)
	parser.word("message")
	table := int(parser.integer("table"))
	count := int(parser.integer("lines"))
	if err := parser.end(); err != nil {
		return err
	}
	if table < 0 || table > maxBackendTable || count < 0 {
		return r.errorf("POOL number or count out of range")
	}
	entries := make([]backendEntry, 0, min(count, maxPreallocation))
	for range count {
		line, err := r.nextLine()
		if errors.Is(err, io.EOF) {
			return r.errorf("input ended inside a POOL")
		}
		if err != nil {
			return err
		}
		entry, err := r.parseBackendEntry(line)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	r.backendTables[table] = entries
	return nil
}

func (r *Reader) parseBackendEntry(line string) (backendEntry, error) {
	parser := r.newFieldParser(line)
	if parser.word("message") != "APPLIANCE" {
		return backendEntry{}, r.errorf("expected APPLIANCE, got %q", line)
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
	return entry, parser.end()
}
