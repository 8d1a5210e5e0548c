package retry

import "time"

// fleetMemory is how long daemons that are no longer known still count, so that a daemon
// that is partitioned from the others keeps to its part of the slack.
const fleetMemory = time.Minute

// DaemonCounter estimates the number of daemons that share a slack. A partitioned daemon knows
// fewer and fewer others, and must not use the parts of those it can no longer see. The
// zero value knows none. It is not safe for concurrent use.
type DaemonCounter struct {
	// periodStart is the start of the current period of half of fleetMemory. periodMax
	// and previousMax are the most daemons known in it and in the period before.
	periodStart            time.Time
	periodMax, previousMax int
}

// Daemons records how many daemons are known now and returns how many share the slack: the
// most that were known within the last half to whole fleetMemory.
func (f *DaemonCounter) Daemons(now time.Time, known int) int {
	const half = fleetMemory / 2
	switch age := now.Sub(f.periodStart); {
	case age >= fleetMemory:
		f.periodStart, f.periodMax, f.previousMax = now, 0, 0
	case age >= half:
		f.periodStart, f.periodMax, f.previousMax = now, 0, f.periodMax
	}
	f.periodMax = max(f.periodMax, known)
	return max(f.periodMax, f.previousMax, 1)
}
