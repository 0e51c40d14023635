package replica

import (
	"fmt"
	"hash/fnv"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
)

// Variables that set the seeds of TestTraceReproducible: the first one, and how many.
const (
	traceFromVariable = "REPLICA_TRACE_FROM"
	traceRunsVariable = "REPLICA_TRACE_RUNS"
)

// traceChildVariable is set in the process that TestTraceReproducible starts.
const traceChildVariable = "REPLICA_TRACE_CHILD"

// traceDigestPrefix precedes the digests that this process prints.
const traceDigestPrefix = "trace digest"

// Two processes that run the same seed take the same steps: a failure can be replayed from its seed.
func TestTraceReproducible(t *testing.T) {
	from := numberFromEnvironment(t, traceFromVariable, 500)
	runs := numberFromEnvironment(t, traceRunsVariable, 16)
	digests := traceDigests(from, runs)
	if os.Getenv(traceChildVariable) != "" {
		fmt.Print(strings.Join(digests, ""))
		return
	}
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), traceChildVariable+"=1")
	output, err := child.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, digest := range digests {
		if !strings.Contains(string(output), digest) {
			t.Errorf("not in the other process: %s", digest)
		}
	}
}

// traceDigests returns a line with the digest of the trace for each of some consecutive seeds.
func traceDigests(from, runs uint64) (digests []string) {
	for seed := from; seed < from+runs; seed++ {
		digest := fnv.New64a()
		results := &runResults{coverage: map[string]int{}}
		results.run(seed, digest)
		digests = append(digests, fmt.Sprintf("%s of seed %d: %016x\n", traceDigestPrefix, seed, digest.Sum64()))
	}
	return digests
}

// numberFromEnvironment returns the value of a variable, or a default if it is not set.
func numberFromEnvironment(t *testing.T, variable string, unset uint64) uint64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return unset
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return number
}
