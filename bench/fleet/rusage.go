package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessorTime returns the user and system time this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ProcessorTimeOf returns the time another process has had a processor, from
// the scheduler's count for each of its threads.
func ProcessorTimeOf(pid int) (time.Duration, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, errors.Newf("no process %d", pid)
	}
	var sum time.Duration
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		first, _, _ := strings.Cut(string(raw), " ")
		nanos, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		sum += time.Duration(nanos)
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
