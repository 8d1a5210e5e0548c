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

// CPUTime returns the user and system time that this process has used.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// CPUTimeOf returns the CPU time that another process has used, summed over the scheduler statistics of
// its threads.
func CPUTimeOf(pid int) (time.Duration, error) {
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
			return 0, errors.Wrap(err, "parse CPU time")
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
		return 0, errors.Newf("memory of process %d: too few fields", pid)
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), errors.Wrap(err, "parse memory")
}
