package main

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
)

// The traffic classes under overload.
const (
	classUrgent   = "first priority"
	classOrdinary = "ordinary"
	systemAll     = "all"
)

// measureOverload sends the highest priority alone, and then together with ordinary calls at a
// total rate above the capacity of the slots.
func (c *calls) measureOverload(ctx context.Context, r *run, f *callFleet) error {
	capacity := c.capacity(len(f.pool))
	members := fleet.Members(f.processes)
	urgent := load.Class{Name: classUrgent, URLs: f.urls(members, pathUrgent), Header: c.delayHeader(), Rate: c.urgent * capacity}
	ordinary := load.Class{Name: classOrdinary, URLs: f.urls(members, pathPool), Header: c.delayHeader(), Rate: (c.overload - c.urgent) * capacity}
	alone := c.send(ctx, r, f, urgent)[0]
	begin := time.Now()
	results := c.send(ctx, r, f, urgent, ordinary)
	seconds := time.Since(begin).Seconds()
	at := c.overload * capacity
	served := 0
	for _, res := range results {
		served += res.Served
		r.report.Add("overload, served", res.Class, at, report.Percent, percent(res.Served, res.Due()))
		r.report.Add("overload, refused", res.Class, at, report.Percent, percent(res.Refused, res.Due()))
		r.report.Add("overload, failed", res.Class, at, report.Percent, percent(res.Failed, res.Due()))
		r.report.Add("overload, latency p50", res.Class, at, report.Milliseconds, quantile(res, 50))
		r.report.Add("overload, latency p99", res.Class, at, report.Milliseconds, quantile(res, 99))
		r.report.Add("overload, refusal p50", res.Class, at, report.Milliseconds, float64(res.RefusalLatency.ValueAtQuantile(50))/1000)
		r.report.Add("overload, refusal p99", res.Class, at, report.Milliseconds, float64(res.RefusalLatency.ValueAtQuantile(99))/1000)
		if res.FirstFailure != "" {
			r.report.Note("overload, %s, a failure: %s", res.Class, res.FirstFailure)
		}
	}
	r.report.Add("overload, latency p99 unloaded", classUrgent, at, report.Milliseconds, quantile(alone, 99))
	r.report.Add("overload, goodput of the capacity", systemAll, at, report.Percent, 100*float64(served)/seconds/capacity)
	return nil
}
