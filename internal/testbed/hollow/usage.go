package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Usage is what a process has used.
type Usage struct {
	CPU    time.Duration // user and system time
	Memory int64         // resident bytes now
	Peak   int64         // resident bytes at most
}

// clockTick is the unit of processor times under /proc on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat behind the program's name, which is in brackets and may hold anything.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// ReadUsage reads what a process has used; zero where there is no /proc.
func ReadUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if u.CPU, err = parseCPUTime(string(stat)); err != nil {
		return u, err
	}
	u.Memory, u.Peak = parseMemoryField(string(status), "VmRSS:"), parseMemoryField(string(status), "VmHWM:")
	return u, nil
}

func parseCPUTime(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.New("stat: too few fields")
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "stat")
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "stat")
	}
	return time.Duration(user+system) * clockTick, nil
}

// parseMemoryField reads a line such as "VmRSS:   123 kB"; zero where it is missing.
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
		return kilobytes << 10
	}
	return 0
}
