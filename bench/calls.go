package main

import (
	"context"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/bench/report"
	"github.com/daisygate/daisygate/internal/testbackend"
)

// calls measures the latency that daisygate adds to a call, the cost of a call, and the behaviour
// of calls under overload and while servers are killed.
type calls struct {
	daemons     int
	rates       []int
	ramp        []int
	phase       time.Duration
	slots       int
	connections int
	delay       time.Duration
	overload    float64
	urgent      float64
	killLoad    float64
	skip        []string
}

// notServed is the name of the figure that counts calls refused, failed or not sent.
const notServed = "not served"

// The parts of the measurement, as named by --skip.
const (
	partLatency  = "latency"
	partRamp     = "ramp"
	partOverload = "overload"
	partKill     = "kill"
)

func newCalls() *cobra.Command {
	c := &calls{}
	flags := func(f *pflag.FlagSet) {
		f.IntVar(&c.daemons, "daemons", 6, "daemons, each in its own process with a local server")
		f.IntSliceVar(&c.rates, "rates", []int{100, 200, 400, 800}, "calls a second, for latency and cost")
		f.IntSliceVar(&c.ramp, "ramp", []int{2000, 4000, 8000, 16000}, "calls a second, to find the highest rate that one daemon serves")
		f.DurationVar(&c.phase, "phase", 4*time.Second, "length of each phase")
		f.IntVar(&c.slots, "slots", 20, "slots of a server of the pool")
		f.IntVar(&c.connections, "connections", 110, "connections of a server of the pool")
		f.DurationVar(&c.delay, "delay", 200*time.Millisecond, "time that a pool server takes for a call")
		f.Float64Var(&c.overload, "overload", 2, "load under overload, as a multiple of the capacity")
		f.Float64Var(&c.urgent, "urgent", 0.1, "load of the highest priority, as a share of the capacity")
		f.Float64Var(&c.killLoad, "kill-load", 0.4, "load while servers are killed, as a share of the capacity")
		f.StringSliceVar(&c.skip, "skip", nil, "parts to skip: latency, ramp, overload, kill")
	}
	return newRun("calls", "Latency and cost of calls, overload, killed servers", "calls/s", flags, c.measure)
}

func (c *calls) measure(ctx context.Context, r *run) error {
	f, err := startCallFleet(ctx, r, c.daemons, c.slots, c.connections)
	if err != nil {
		return err
	}
	defer f.close()
	return measureParts(ctx, c.skip, []part{
		{partLatency, func() error { return c.measureLatency(ctx, r, f) }},
		{partRamp, func() error { return c.measureRamp(ctx, r, f) }},
		{partOverload, func() error { return c.measureOverload(ctx, r, f) }},
		{partKill, func() error { return c.measureKills(ctx, r, f) }},
	})
}

// capacity returns the highest rate of calls a second that the pool's slots can run.
func (c *calls) capacity(servers int) float64 {
	return float64(servers*c.slots) / c.delay.Seconds()
}

// delayHeader returns the header that makes a pool server delay its answer.
func (c *calls) delayHeader() http.Header {
	return http.Header{http.CanonicalHeaderKey(testbackend.HeaderDelay): {c.delay.String()}}
}

func (c *calls) send(ctx context.Context, r *run, f *callFleet, classes ...load.Class) []*load.Result {
	return load.Run(ctx, f.client, c.phase, r.random.Uint64(), classes)
}

// quantile returns a latency quantile in milliseconds.
func quantile(res *load.Result, percent float64) float64 {
	return float64(res.Latency.ValueAtQuantile(percent)) / 1000
}

// addLatency adds the latencies of one class and the number of its calls that were not served.
func addLatency(rep *report.Report, res *load.Result, at float64) {
	rep.Add("latency p50", res.Class, at, report.Milliseconds, quantile(res, 50))
	rep.Add("latency p99", res.Class, at, report.Milliseconds, quantile(res, 99))
	rep.Add("latency max", res.Class, at, report.Milliseconds, quantile(res, 100))
	rep.Add("sent late p99", res.Class, at, report.Milliseconds, float64(res.Lateness.ValueAtQuantile(99))/1000)
	rep.Add(notServed, res.Class, at, report.Count, float64(res.Due()-res.Served))
	if res.FirstFailure != "" {
		rep.Note("%s at %s calls/s, a failure: %s", res.Class, report.FormatNumber(at), res.FirstFailure)
	}
}
