package main

import (
	"fmt"
	"io"
	"log/slog"
	"time"
)

// newLogger writes lines of key=value, or of JSON. What has happened stands under "event".
func newLogger(to io.Writer, format string) (*slog.Logger, error) {
	o := &slog.HandlerOptions{ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(to, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(to, o)), nil
	}
	return nil, fmt.Errorf("no such log format: %q", format)
}

// logLines writes a log on a goroutine of its own: a reader that stands still must not hold up an agent. Lines that
// find no room are lost.
type logLines struct {
	queue chan []byte
	asked chan chan bool // to be answered when all before is written
}

const mostLines = 1024

func startLog(to io.Writer) *logLines {
	l := &logLines{make(chan []byte, mostLines), make(chan chan bool)}
	go func() {
		for {
			select {
			case line := <-l.queue:
				to.Write(line)
			case done := <-l.asked:
				for len(l.queue) > 0 {
					to.Write(<-l.queue)
				}
				done <- true
			}
		}
	}()
	return l
}

func (l *logLines) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// flush waits until what was logged is written, a second at most.
func (l *logLines) flush() {
	limit, done := time.After(time.Second), make(chan bool, 1)
	select {
	case l.asked <- done:
	case <-limit:
		return
	}
	select {
	case <-done:
	case <-limit:
	}
}
