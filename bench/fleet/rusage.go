package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// The places of the times in /proc/PID/stat, counted from behind the name.
const (
	statUser   = 11
	statSystem = 12
)

// ProcessorTime returns the user and system time this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ProcessorTimeOf returns the user and system time another process has used,
// in steps of 10 ms.
func ProcessorTimeOf(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystem {
		return 0, errors.Newf("processor time of %d: short line", pid)
	}
	var sum time.Duration
	for _, field := range fields[statUser : statSystem+1] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		sum += time.Duration(ticks) * clockTick
	}
	return sum, nil
}

// ResidentBytes returns the resident memory of a process.
func ResidentBytes(pid int) (uint64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, errors.Newf("memory of %d: short line", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), errors.Wrap(err, "memory")
}
