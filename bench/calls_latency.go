package main

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

// The systems of the call figures.
const (
	systemDirect = "direct"
	systemLocal  = "local"
	systemTwo    = "two daemons"
)

// measureLatency sends direct calls in parallel with local calls, and then with calls through two
// daemons, at each rate.
func (c *calls) measureLatency(ctx context.Context, r *run, f *callFleet) error {
	for _, rate := range c.rates {
		c.measureLatencyAt(ctx, r, f, systemLocal, pathLocal, f.local.Addr, rate)
		c.measureLatencyAt(ctx, r, f, systemTwo, pathRemote, f.remote.Addr, rate)
	}
	return nil
}

func (c *calls) measureLatencyAt(ctx context.Context, r *run, f *callFleet, system, path, server string, rate int) {
	before := []time.Duration{f.cpuTime(f.localMember()), f.cpuTime(f.remoteMember())}
	begin := time.Now()
	results := c.send(ctx, r, f,
		load.Class{Name: systemDirect + ", beside " + system, URLs: []string{"http://" + server + path}, Rate: float64(rate)},
		load.Class{Name: system, URLs: []string{f.url(f.localMember(), path)}, Rate: float64(rate)},
	)
	seconds := time.Since(begin).Seconds()
	at := float64(rate)
	direct, through := results[0], results[1]
	addLatency(r.report, direct, at)
	addLatency(r.report, through, at)
	for _, percent := range []struct {
		name  string
		value float64
	}{{"added p50", 50}, {"added p99", 99}} {
		r.report.Add(percent.name, system, at, report.Milliseconds, quantile(through, percent.value)-quantile(direct, percent.value))
	}
	atCaller := f.cpuTime(f.localMember()) - before[0]
	r.report.Add("processor, caller's daemon", system, at, report.CorePercent, 100*atCaller.Seconds()/seconds)
	if system == systemTwo {
		atServer := f.cpuTime(f.remoteMember()) - before[1]
		r.report.Add("processor, daemon beside the server", system, at, report.CorePercent, 100*atServer.Seconds()/seconds)
	}
}

// measureRamp increases the rate at one daemon to find the highest rate that it serves.
func (c *calls) measureRamp(ctx context.Context, r *run, f *callFleet) error {
	for _, rate := range c.ramp {
		before := f.cpuTime(f.localMember())
		begin := time.Now()
		res := c.send(ctx, r, f, load.Class{Name: systemLocal, URLs: []string{f.url(f.localMember(), pathLocal)}, Rate: float64(rate)})[0]
		seconds := time.Since(begin).Seconds()
		used := f.cpuTime(f.localMember()) - before
		at := float64(rate)
		r.report.Add("ramp, served a second", systemLocal, at, report.PerSecond, float64(res.Served)/seconds)
		r.report.Add("ramp, refused", systemLocal, at, report.Percent, percent(res.Refused, res.Due()))
		r.report.Add("ramp, failed", systemLocal, at, report.Percent, percent(res.Failed, res.Due()))
		r.report.Add("ramp, not sent", systemLocal, at, report.Percent, percent(res.NotSent, res.Due()))
		r.report.Add("ramp, latency p99", systemLocal, at, report.Milliseconds, quantile(res, 99))
		r.report.Add("ramp, processor a call", systemLocal, at, report.Microseconds, float64(used.Microseconds())/float64(max(1, res.Served)))
		r.report.Add("ramp, processor", systemLocal, at, report.CorePercent, 100*used.Seconds()/seconds)
	}
	return nil
}

// percent returns part as a percentage of whole, or 0 if whole is 0.
func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}
