package main

import (
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
)

// usage is what a system used during a measurement.
type usage struct {
	elapsed time.Duration
	members []fleet.Usage
	// cpu is the CPU time of all members. For members in this process it includes the measurement itself.
	cpu time.Duration
}

// measureUsage returns what a system uses while f runs.
func measureUsage(s fleet.System, f func() error) (usage, error) {
	begin := time.Now()
	before := snapshotOf(s)
	cpu := cpuTime(s)
	if err := f(); err != nil {
		return usage{}, err
	}
	u := usage{elapsed: time.Since(begin), cpu: cpuTime(s) - cpu, members: snapshotOf(s)}
	for i := range u.members {
		u.members[i].Sent -= before[i].Sent
		u.members[i].Received -= before[i].Received
		u.members[i].Messages -= before[i].Messages
	}
	return u, nil
}

func snapshotOf(s fleet.System) []fleet.Usage {
	members := make([]fleet.Usage, s.Size())
	for i := range members {
		members[i] = s.Usage(i)
	}
	return members
}

// cpuTime returns the CPU time of the members' processes, or of this process.
func cpuTime(s fleet.System) time.Duration {
	processes, ok := s.(*fleet.Processes)
	if !ok {
		return fleet.CPUTime()
	}
	var sum time.Duration
	for member := range s.Size() {
		// A member that is not running uses no CPU time.
		used, _ := fleet.CPUTimeOf(processes.Pid(member))
		sum += used
	}
	return sum
}

// aboveIdle returns u without the idle usage over the same time.
func (u usage) aboveIdle(idle usage) usage {
	share := u.elapsed.Seconds() / idle.elapsed.Seconds()
	rest := usage{elapsed: u.elapsed, cpu: max(0, u.cpu-time.Duration(share*float64(idle.cpu)))}
	for i, m := range u.members {
		rest.members = append(rest.members, fleet.Usage{
			Sent:     subtract(m.Sent, share*float64(idle.members[i].Sent)),
			Received: subtract(m.Received, share*float64(idle.members[i].Received)),
			Messages: subtract(m.Messages, share*float64(idle.members[i].Messages)),
		})
	}
	return rest
}

func subtract(from uint64, what float64) uint64 { return uint64(max(0, float64(from)-what)) }

// split separates the sources from the other daemons.
func (u usage) split(s fleet.System) (sources, daemons []fleet.Usage) {
	return u.members[:s.Sources()], u.members[s.Sources():]
}

func sent(u fleet.Usage) float64     { return float64(u.Sent) }
func received(u fleet.Usage) float64 { return float64(u.Received) }
func messages(u fleet.Usage) float64 { return float64(u.Messages) }

func meanOf(members []fleet.Usage, value func(fleet.Usage) float64) float64 {
	sum := 0.0
	for _, m := range members {
		sum += value(m)
	}
	return sum / float64(max(1, len(members)))
}

func maxOf(members []fleet.Usage, value func(fleet.Usage) float64) float64 {
	greatest := 0.0
	for _, m := range members {
		greatest = max(greatest, value(m))
	}
	return greatest
}
