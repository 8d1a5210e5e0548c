package main

import (
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
)

// usage is what a system used over a time.
type usage struct {
	took    time.Duration
	members []fleet.Usage
	// processor is the time of all members together; in a shared process it
	// has the measurement's own part in it.
	processor time.Duration
}

// watch returns what a system uses while f runs.
func watch(s fleet.System, f func() error) (usage, error) {
	begin := time.Now()
	before := snapshotOf(s)
	processor := processorTime(s)
	if err := f(); err != nil {
		return usage{}, err
	}
	u := usage{took: time.Since(begin), processor: processorTime(s) - processor, members: snapshotOf(s)}
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

// processorTime is the time of the members' processes, or of this one.
func processorTime(s fleet.System) time.Duration {
	processes, ok := s.(*fleet.Processes)
	if !ok {
		return fleet.ProcessorTime()
	}
	var sum time.Duration
	for member := range s.Size() {
		// A member that is down uses nothing.
		used, _ := fleet.ProcessorTimeOf(processes.Pid(member))
		sum += used
	}
	return sum
}

// above returns u without what idle would have used in the same time.
func (u usage) above(idle usage) usage {
	share := u.took.Seconds() / idle.took.Seconds()
	rest := usage{took: u.took, processor: max(0, u.processor-time.Duration(share*float64(idle.processor)))}
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

// split parts the sources from the other daemons.
func (u usage) split(s fleet.System) (sources, daemons []fleet.Usage) {
	return u.members[:s.Sources()], u.members[s.Sources():]
}

func sent(u fleet.Usage) float64     { return float64(u.Sent) }
func received(u fleet.Usage) float64 { return float64(u.Received) }
func messages(u fleet.Usage) float64 { return float64(u.Messages) }

func mean(members []fleet.Usage, of func(fleet.Usage) float64) float64 {
	sum := 0.0
	for _, m := range members {
		sum += of(m)
	}
	return sum / float64(max(1, len(members)))
}

func mostOf(members []fleet.Usage, of func(fleet.Usage) float64) float64 {
	most := 0.0
	for _, m := range members {
		most = max(most, of(m))
	}
	return most
}
