package main

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// slowOutput blocks in its first write until it is released.
type slowOutput struct {
	started chan struct{}
	release chan struct{}
	text    strings.Builder
}

func newSlowOutput() *slowOutput {
	return &slowOutput{started: make(chan struct{}), release: make(chan struct{})}
}

// Write implements io.Writer.
func (s *slowOutput) Write(p []byte) (int, error) {
	if s.text.Len() == 0 {
		close(s.started)
		<-s.release
	}
	return s.text.Write(p)
}

// writeLine writes a line and fails the test if that fails.
func writeLine(t *testing.T, w io.Writer, line string) {
	t.Helper()
	if _, err := io.WriteString(w, line); err != nil {
		t.Fatal(err)
	}
}

// A log reader that stops reading does not block the writers. Lines beyond the queue are dropped, and the queued ones
// are written by close.
func TestSlowLogReaderDoesNotBlock(t *testing.T) {
	output := newSlowOutput()
	w := newAsyncWriter(output)
	writeLine(t, w, "first\n")
	<-output.started
	for range maxQueuedLines + 5 {
		writeLine(t, w, "more\n")
	}
	close(output.release)
	w.close()
	text := output.text.String()
	if got := strings.Count(text, "more"); got != maxQueuedLines || !strings.HasPrefix(text, "first") {
		t.Errorf("%d lines after the first, want %d", got, maxQueuedLines)
	}
}

func TestLogFormats(t *testing.T) {
	wants := map[string]string{
		textFormat: "event=started name=n0 after=2s",
		jsonFormat: `"event":"started","name":"n0"`,
	}
	for format, want := range wants {
		var out bytes.Buffer
		logger, err := newLogger(&out, format)
		if err != nil {
			t.Fatal(err)
		}
		logger.Info("started", "name", "n0", "after", 2*time.Second)
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s: %s", format, out.String())
		}
	}
	if _, err := newLogger(nil, "xml"); err == nil {
		t.Error("an unknown format was accepted")
	}
}
