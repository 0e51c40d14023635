package main

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Log formats.
const (
	textFormat = "text" // key=value
	jsonFormat = "json"
)

// eventKey is the key of the message of a log line, which is the name of an event.
const eventKey = "event"

// newLogger returns a logger that writes lines to output in the given format.
func newLogger(output io.Writer, format string) (*slog.Logger, error) {
	options := &slog.HandlerOptions{ReplaceAttr: renameMessageKey}
	switch format {
	case textFormat:
		return slog.New(slog.NewTextHandler(output, options)), nil
	case jsonFormat:
		return slog.New(slog.NewJSONHandler(output, options)), nil
	}
	return nil, fmt.Errorf("no such log format: %q", format)
}

func renameMessageKey(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.MessageKey {
		attr.Key = eventKey
	}
	return attr
}

const (
	// maxQueuedLines limits the log lines that are queued for a slow reader. Further lines are dropped.
	maxQueuedLines = 1024
	// closeTimeout limits how long closing the log waits for a slow reader.
	closeTimeout = time.Second
)

// asyncWriter writes log lines in its own goroutine, so that a reader of the log that stops reading does not
// block the agent.
type asyncWriter struct {
	output    io.Writer
	queue     chan []byte
	closing   chan struct{} // closed by close
	closed    chan struct{} // closed when all queued lines are written
	closeOnce sync.Once
}

func newAsyncWriter(output io.Writer) *asyncWriter {
	w := &asyncWriter{
		output:  output,
		queue:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go w.run()
	return w
}

// run writes lines until the writer is closed and the queue is empty.
func (w *asyncWriter) run() {
	defer close(w.closed)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.closing:
			for len(w.queue) > 0 {
				w.writeLine(<-w.queue)
			}
			return
		}
	}
}

func (w *asyncWriter) writeLine(line []byte) {
	_, _ = w.output.Write(line) // there is no other place to report the error
}

// Write implements io.Writer. It queues a copy of the line, or drops it if the queue is full, and never fails.
func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// close waits until all queued lines are written, or until closeTimeout has passed. Later lines are dropped.
func (w *asyncWriter) close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.closed:
	case <-time.After(closeTimeout):
	}
}
