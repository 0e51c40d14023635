// Command simadapter runs many instances of the agent's policy for the simulator. It reads batches of events from
// standard input and writes the replies to each batch to standard output, in the simulator's protocol.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"sagelever/internal/sim/protocol"
)

// outputBufferSize is the size of the buffer for the replies to a batch, in bytes.
const outputBufferSize = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends after a complete batch.
func serve(in io.Reader, out io.Writer) error {
	reader := protocol.NewReader(in)
	writer := bufio.NewWriterSize(out, outputBufferSize)
	host := newHost()
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := protocol.WriteReplies(writer, host.run(batch)); err != nil {
			return err
		}
	}
}
