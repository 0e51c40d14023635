package main

import (
	"fmt"
	"io"
	"log/slog"
	"time"
)

// newLogger writes lines of key=value, or of JSON. What has happened stands under "event".
func newLogger(output io.Writer, format string) (*slog.Logger, error) {
	options := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(output, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(output, options)), nil
	}
	return nil, fmt.Errorf("no such log format: %q", format)
}

// asyncWriter writes a log on a goroutine of its own: a reader that stands still must not hold up an agent. Lines that
// find no room are lost.
type asyncWriter struct {
	queue   chan []byte
	flushes chan chan bool // to be answered when all before is written
}

const maxQueuedLines = 1024

func newAsyncWriter(output io.Writer) *asyncWriter {
	writer := &asyncWriter{make(chan []byte, maxQueuedLines), make(chan chan bool)}
	go func() {
		for {
			select {
			case line := <-writer.queue:
				output.Write(line)
			case done := <-writer.flushes:
				for len(writer.queue) > 0 {
					output.Write(<-writer.queue)
				}
				done <- true
			}
		}
	}()
	return writer
}

func (l *asyncWriter) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// flush waits until what was logged is written, a second at most.
func (l *asyncWriter) flush() {
	limit, done := time.After(time.Second), make(chan bool, 1)
	select {
	case l.flushes <- done:
	case <-limit:
		return
	}
	select {
	case <-done:
	case <-limit:
	}
}
