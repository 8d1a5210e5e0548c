package main

import (
	"context"
	"sync"
	"time"

	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

const (
	// The number of servers divided by killDivisor is killed: a third of them.
	killDivisor = 3
	// maxNormalFailures is the highest share of calls not served, in percent, at which an interval
	// counts as normal.
	maxNormalFailures = 1
	systemServers     = "servers killed"
	systemDaemons     = "servers and daemons killed"
)

// measureKills kills a third of the servers under load, and then, in a new fleet, a third of the
// servers together with their local daemons. Callers use only daemons that keep running.
func (c *calls) measureKills(ctx context.Context, r *run, f *callFleet) error {
	c.measureKill(ctx, r, f, systemServers, func(member int) { f.pool[member].Kill() })
	f.close()
	restarted, err := startCallFleet(ctx, r, c.daemons, c.slots, c.connections)
	if err != nil {
		return err
	}
	defer restarted.close()
	c.measureKill(ctx, r, restarted, systemDaemons, func(member int) {
		restarted.pool[member].Kill()
		restarted.processes.Kill(member)
	})
	return nil
}

func (c *calls) measureKill(ctx context.Context, r *run, f *callFleet, system string, kill func(member int)) {
	size := f.processes.Size()
	var alive []int
	for member := range size - size/killDivisor {
		alive = append(alive, member)
	}
	at := c.killLoad * c.capacity(size)
	class := load.Class{Name: system, URLs: f.urls(alive, pathPool), Header: c.delayHeader(), Rate: at}
	killAfter := c.phase / 4
	var kills sync.WaitGroup
	for member := len(alive); member < size; member++ {
		kills.Go(func() {
			sleep(ctx, killAfter)
			kill(member)
		})
	}
	res := c.send(ctx, r, f, class)[0]
	kills.Wait()
	r.report.Add("kill, refused", system, at, report.Percent, percent(res.Refused, res.Due()))
	r.report.Add("kill, failed", system, at, report.Percent, percent(res.Failed+res.NotSent, res.Due()))
	r.report.Add("kill, latency p99", system, at, report.Milliseconds, quantile(res, 99))
	r.report.Add("kill, latency max", system, at, report.Milliseconds, quantile(res, 100))
	r.report.Add("kill, time back to normal", system, at, report.Milliseconds, report.Millis(timeToNormal(res, killAfter)))
	if res.FirstFailure != "" {
		r.report.Note("%s, a failure: %s", system, res.FirstFailure)
	}
}

// timeToNormal returns the time from the kill to the end of the last interval in which the share
// of calls not served was above normal.
func timeToNormal(res *load.Result, killAfter time.Duration) time.Duration {
	last := time.Duration(0)
	for i, b := range res.Timeline {
		lost := b.Refused + b.Failed
		if percent(lost, lost+b.Served) > maxNormalFailures {
			last = time.Duration(i+1)*load.BucketWidth - killAfter
		}
	}
	return max(last, 0)
}
