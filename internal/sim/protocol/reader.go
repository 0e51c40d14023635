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

// InstanceEvent is an event for one instance. Start and Stop are set for those that begin and end it; they have no
// Event.
type InstanceEvent struct {
	Instance string
	Start    *Start
	Stop     bool
	Event    api.Event
}

// Start is what a new instance is given.
type Start struct {
	Seed     uint64
	Settings map[string]any // as policy.New takes them
}

// Batch is all that happens at one moment of the simulator's clock.
type Batch struct {
	Clock  time.Duration
	Events []InstanceEvent
}

const (
	readBufferSize   = 1 << 20
	maxBackendTable  = 15      // the highest number of a table
	maxPreallocation = 1 << 16 // entries that are made room for before they come
)

// Reader reads batches. It keeps the numbered tables of backends and the clock at which each instance started.
type Reader struct {
	in            *bufio.Reader
	lineNumber    int
	backendTables map[int][]backendEntry
	startedAt     map[string]time.Duration
}

// backendEntry is an entry of a table, whose start counts by the simulator's clock.
type backendEntry struct {
	api.Backend
	hasStart bool
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:            bufio.NewReaderSize(in, readBufferSize),
		backendTables: map[int][]backendEntry{},
		startedAt:     map[string]time.Duration{},
	}
}

// nextLine returns the next line without its end, or io.EOF. The last line need not have an end.
func (r *Reader) nextLine() (string, error) {
	line, err := r.in.ReadString('\n')
	if err != nil && (!errors.Is(err, io.EOF) || line == "") {
		return "", err
	}
	r.lineNumber++
	return strings.TrimRight(line, "\r\n"), nil
}

// errorf makes an error that names the line last read.
func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.lineNumber, fmt.Sprintf(format, args...))
}

// Read returns the next batch, or io.EOF when the input has ended between batches.
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

// readBackendTable reads a numbered table, whose entries follow its line. It replaces the table of that number.
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
