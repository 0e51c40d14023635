package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Usage is the resource usage of a process.
type Usage struct {
	CPU    time.Duration // user and system time
	Memory int64         // resident set size in bytes
	Peak   int64         // peak resident set size in bytes
}

// clockTick is the unit of processor times under /proc on Linux (USER_HZ is 100; see proc(5)).
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the program name. The name is in parentheses and may contain any
// character, including spaces and parentheses.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// ReadUsage reads the usage of a process from /proc. It fails on systems without /proc.
func ReadUsage(pid int) (usage Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage, err
	}
	usage.CPU, err = parseCPUTime(string(stat))
	if err != nil {
		return usage, err
	}
	usage.Memory = parseMemoryField(string(status), "VmRSS:")
	usage.Peak = parseMemoryField(string(status), "VmHWM:")
	return usage, nil
}

// parseCPUTime returns the processor time in the content of /proc/PID/stat.
func parseCPUTime(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.New("parse stat: too few fields")
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse stat")
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse stat")
	}
	return time.Duration(user+system) * clockTick, nil
}

// parseMemoryField returns the value in bytes of a line of /proc/PID/status such as "VmRSS:   123 kB", or 0 if there is
// no such line.
func parseMemoryField(status, name string) int64 {
	for line := range strings.Lines(status) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return 0
		}
		return kilobytes * kilobyte
	}
	return 0
}

// meanCPUSeconds returns the mean processor time of processes.
func meanCPUSeconds(usages []Usage) float64 {
	sum := 0.0
	for _, u := range usages {
		sum += u.CPU.Seconds()
	}
	return sum / float64(max(1, len(usages)))
}

// maxCPUSeconds returns the largest processor time that any process used between two samples.
func maxCPUSeconds(before, after []Usage) (busiest float64) {
	for i := range min(len(before), len(after)) {
		busiest = max(busiest, (after[i].CPU - before[i].CPU).Seconds())
	}
	return busiest
}

// meanMemoryKB returns the mean resident memory of processes in kilobytes.
func meanMemoryKB(usages []Usage) int64 {
	sum := int64(0)
	for _, u := range usages {
		sum += u.Memory
	}
	return sum / int64(max(1, len(usages))) / kilobyte
}

// peakMemoryKB returns the largest peak of resident memory among processes in kilobytes.
func peakMemoryKB(usages []Usage) int64 {
	largest := int64(0)
	for _, u := range usages {
		largest = max(largest, u.Peak)
	}
	return largest / kilobyte
}
