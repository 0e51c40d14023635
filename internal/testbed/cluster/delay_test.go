package cluster

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// WithDelay delays data in both directions, keeps its order and delivers the end of the stream.
func TestWithDelay(t *testing.T) {
	near, far := net.Pipe()
	echoed := make(chan error, 1)
	go func() {
		defer far.Close()
		buffer := make([]byte, 64)
		n, err := io.ReadAtLeast(far, buffer, 4)
		if err == nil {
			_, err = fmt.Fprintf(far, "got %s", buffer[:n])
		}
		echoed <- err
	}()
	const delay = 20 * time.Millisecond
	delayed := WithDelay(near, delay)
	defer delayed.Close()
	startedAt := time.Now()
	for _, part := range []string{"on", "ce"} {
		if _, err := io.WriteString(delayed, part); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(delayed)
	if elapsed := time.Since(startedAt); err != nil || string(got) != "got once" || elapsed < 2*delay {
		t.Errorf("%q %v after %v", got, err, elapsed)
	}
	if err := <-echoed; err != nil {
		t.Error(err)
	}
}
