package main

import (
	"context"
	"runtime"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
)

// roleUsage is the mean usage of the members of one role during a measurement.
type roleUsage struct {
	role                     string
	sent, received, messages float64
	cpu                      time.Duration
	resident                 float64
}

// measureRoles returns the usage of each role while f runs, and the duration.
func measureRoles(s *fleet.Split, f func() error) ([]roleUsage, time.Duration, error) {
	roles, err := s.Roles()
	if err != nil {
		return nil, 0, err
	}
	separate := append([]int{roles.Leader, roles.Sample}, roles.Followers...)
	before := cpuTimes(s, separate)
	used, err := measureUsage(s, f)
	if err != nil {
		return nil, 0, err
	}
	after := cpuTimes(s, separate)
	roleUsageOf := func(role string, members, processes []int) roleUsage {
		u := roleUsage{role: role}
		var usages []fleet.Usage
		for _, member := range members {
			usages = append(usages, used.members[member])
		}
		u.sent, u.received, u.messages = meanOf(usages, sent), meanOf(usages, received), meanOf(usages, messages)
		for _, member := range processes {
			u.cpu += (after[member] - before[member]) / time.Duration(len(processes))
			resident, err := fleet.ResidentBytes(s.Pid(member))
			if err == nil {
				u.resident += float64(resident) / float64(len(processes))
			}
		}
		return u
	}
	leader, sample := []int{roles.Leader}, []int{roles.Sample}
	return []roleUsage{
		roleUsageOf(roleLeader, leader, leader),
		roleUsageOf(roleFollower, roles.Followers, roles.Followers),
		roleUsageOf(roleDaemon, roles.Daemons, sample),
	}, used.elapsed, nil
}

// cpuTimes returns the CPU time used by members that run in their own process, by member.
func cpuTimes(s *fleet.Split, members []int) map[int]time.Duration {
	times := map[int]time.Duration{}
	for _, member := range members {
		used, err := fleet.CPUTimeOf(s.Pid(member))
		if err == nil {
			times[member] = used
		}
	}
	return times
}

// addRoles adds the usage of the roles as figures of a sweep.
func addRoles(rep *report.Report, sweep string, at float64, roles []roleUsage, took time.Duration) {
	seconds := took.Seconds()
	for _, u := range roles {
		rep.Add(sweep+", sent", u.role, at, report.BytesPerSec, u.sent/seconds)
		rep.Add(sweep+", received", u.role, at, report.BytesPerSec, u.received/seconds)
		rep.Add(sweep+", messages sent", u.role, at, report.PerSecond, u.messages/seconds)
		rep.Add(sweep+", processor", u.role, at, report.CorePercent, 100*u.cpu.Seconds()/seconds)
		rep.Add(sweep+", resident memory", u.role, at, report.MiB, u.resident/(1<<20))
	}
}

// heapOfShared returns the live heap of this process divided by the number of its daemons.
func heapOfShared(s *fleet.Split) float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / float64(s.Shared().Size())
}

// atRate calls f at a fixed rate a second until the phase is over. f must take less time than the
// interval between two calls.
func atRate(ctx context.Context, rate float64, phase time.Duration, f func(i int) error) error {
	begin := time.Now()
	gap := time.Duration(float64(time.Second) / rate)
	for i := 0; ; i++ {
		due := time.Duration(i) * gap
		if due >= phase {
			return nil
		}
		if !sleep(ctx, time.Until(begin.Add(due))) {
			return context.Cause(ctx)
		}
		if err := f(i); err != nil {
			return err
		}
	}
}
