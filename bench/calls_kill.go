package main

import (
	"context"
	"sync"
	"time"

	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

const (
	// killShare is the part of the servers that is killed.
	killShare = 3
	// normalFailures is the share of calls not served, in percent, up to which
	// a stretch of time counts as normal.
	normalFailures = 1
	systemServers  = "servers killed"
	systemDaemons  = "servers and daemons killed"
)

// measureKills kills a third of the servers under load; then, of a fleet that
// has them back, a third of the servers with the daemons beside them. Callers
// ask daemons that live on.
func (c *calls) measureKills(ctx context.Context, r *run, f *callFleet) error {
	c.kill(ctx, r, f, systemServers, func(member int) { f.pool[member].Kill() })
	f.close()
	again, err := startCallFleet(ctx, r, c.daemons, c.slots, c.connections)
	if err != nil {
		return err
	}
	defer again.close()
	c.kill(ctx, r, again, systemDaemons, func(member int) {
		again.pool[member].Kill()
		again.processes.Kill(member)
	})
	return nil
}

func (c *calls) kill(ctx context.Context, r *run, f *callFleet, system string, kill func(member int)) {
	size := f.processes.Size()
	var alive []int
	for member := range size - size/killShare {
		alive = append(alive, member)
	}
	at := c.killLoad * c.capacity(size)
	class := load.Class{Name: system, URLs: f.urls(alive, pathPool), Header: c.delayed(), Rate: at}
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
	r.report.Add("kill, time back to normal", system, at, report.Milliseconds, report.Millis(backToNormal(res, killAfter)))
	if res.FirstFailure != "" {
		r.report.Note("%s, a failure: %s", system, res.FirstFailure)
	}
}

// backToNormal is the time from the kill to the end of the last stretch in
// which more calls than normal were not served.
func backToNormal(res *load.Result, killAfter time.Duration) time.Duration {
	last := time.Duration(0)
	for i, b := range res.Timeline {
		lost := b.Refused + b.Failed
		if percent(lost, lost+b.Served) > normalFailures {
			last = time.Duration(i+1)*load.BucketWidth - killAfter
		}
	}
	return max(last, 0)
}
