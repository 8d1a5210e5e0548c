package main

import (
	"context"
	"runtime"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
)

// roleUsage is what one role used over a time, the mean of its members.
type roleUsage struct {
	role                     string
	sent, received, messages float64
	processor                time.Duration
	resident                 float64
}

// watchRoles returns what each role uses while f runs, and how long that took.
func watchRoles(s *fleet.Split, f func() error) ([]roleUsage, time.Duration, error) {
	roles, err := s.Roles()
	if err != nil {
		return nil, 0, err
	}
	alone := append([]int{roles.Leader, roles.Sample}, roles.Followers...)
	before := processorTimes(s, alone)
	used, err := watch(s, f)
	if err != nil {
		return nil, 0, err
	}
	after := processorTimes(s, alone)
	of := func(role string, members, processes []int) roleUsage {
		u := roleUsage{role: role}
		var picked []fleet.Usage
		for _, member := range members {
			picked = append(picked, used.members[member])
		}
		u.sent, u.received, u.messages = mean(picked, sent), mean(picked, received), mean(picked, messages)
		for _, member := range processes {
			u.processor += (after[member] - before[member]) / time.Duration(len(processes))
			resident, err := fleet.ResidentBytes(s.Pid(member))
			if err == nil {
				u.resident += float64(resident) / float64(len(processes))
			}
		}
		return u
	}
	leader, sample := []int{roles.Leader}, []int{roles.Sample}
	return []roleUsage{
		of(roleLeader, leader, leader),
		of(roleFollower, roles.Followers, roles.Followers),
		of(roleDaemon, roles.Daemons, sample),
	}, used.took, nil
}

// processorTimes returns the processor time so far of members that are
// processes of their own, by member.
func processorTimes(s *fleet.Split, members []int) map[int]time.Duration {
	times := map[int]time.Duration{}
	for _, member := range members {
		used, err := fleet.ProcessorTimeOf(s.Pid(member))
		if err == nil {
			times[member] = used
		}
	}
	return times
}

// addRoles adds what the roles used as figures of a sweep.
func addRoles(rep *report.Report, sweep string, at float64, roles []roleUsage, took time.Duration) {
	seconds := took.Seconds()
	for _, u := range roles {
		rep.Add(sweep+", sent", u.role, at, report.BytesPerSec, u.sent/seconds)
		rep.Add(sweep+", received", u.role, at, report.BytesPerSec, u.received/seconds)
		rep.Add(sweep+", messages sent", u.role, at, report.PerSecond, u.messages/seconds)
		rep.Add(sweep+", processor", u.role, at, report.CorePercent, 100*u.processor.Seconds()/seconds)
		rep.Add(sweep+", resident memory", u.role, at, report.MiB, u.resident/(1<<20))
	}
}

// heapOfShared returns the live heap of this process for each daemon in it.
func heapOfShared(s *fleet.Split) float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / float64(s.Shared().Size())
}

// every calls f at a mean rate a second until the phase is over; f must be
// shorter than the gaps.
func every(ctx context.Context, rate float64, phase time.Duration, f func(i int) error) error {
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
