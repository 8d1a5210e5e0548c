package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// foreignReportPause is the mean time between two foreign reports, refusalDuration how long
// the servers of one service refuse a share of their requests, and refusalPause the mean time
// between two such phases.
const (
	foreignReportPause = 700 * time.Millisecond
	refusalDuration    = 4 * time.Second
	refusalPause       = 5 * time.Second
)

// burstCallersPerDaemon is the number of additional callers of each daemon during a burst, more
// than its server has slots. burstDuration is the longest burst, and burstPause the mean time
// between two.
const (
	burstCallersPerDaemon = 3 * slots
	burstDuration         = 2 * time.Second
	burstPause            = time.Second
	burstCallerPause      = 10 * time.Millisecond
)

// startBursts sends more requests than the servers have slots for, at random times until ctx ends.
func (cl *cluster) startBursts(ctx context.Context) {
	for i, p := range cl.daemons {
		for k := range burstCallersPerDaemon {
			// All callers draw the same times, so that their bursts coincide.
			times := rand.New(rand.NewPCG(cl.o.Seed, 19))
			random := rand.New(rand.NewPCG(cl.o.Seed, uint64(10_000+100*i+k)))
			cl.wait.Go(func() {
				for at := time.Now(); ctx.Err() == nil; {
					at = at.Add(time.Duration(times.Int64N(int64(2 * burstPause))))
					cl.sleep(ctx, time.Until(at))
					at = at.Add(time.Duration(times.Int64N(int64(burstDuration))))
					burst, end := context.WithDeadline(ctx, at)
					cl.runCaller(burst, p, random, burstCallerPause)
					end()
				}
			})
		}
	}
}

// startForeignReports sends reports that do not come from the local backend servers until ctx
// ends.
func (cl *cluster) startForeignReports(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 11))
	cl.wait.Go(func() {
		for ctx.Err() == nil {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*foreignReportPause))))
			cl.backends[random.IntN(len(cl.backends))].sendForeignReport(ctx, random)
		}
	})
}

// sendForeignReport sends the local daemon a well-formed report of another sender: at least
// one of its parts differs from the server's, always the boot ID or the service.
func (b *backend) sendForeignReport(ctx context.Context, random *rand.Rand) {
	pick := func(values ...string) string { return values[random.IntN(len(values))] }
	b.mu.Lock()
	boot := b.boot
	b.mu.Unlock()
	service := pick(fmt.Sprintf("x%06x", random.IntN(1<<24)), serviceA, serviceB)
	if service == b.service || random.IntN(2) == 0 {
		boot = fmt.Sprintf("foreign-%d", random.IntN(8))
	}
	report := map[string]any{
		"address":     pick(b.addr, b.addr, b.outbound, "127.0.0.1:9"),
		"information": map[string]any{"service": service, "version": "v1", "zone": "z", "max_concurrency": 1 + random.IntN(2*slots)},
		"status":      map[string]any{"state": pick("ready", "ready", "draining"), "sequence": random.Int64N(1 << 40), "cold_remaining_ms": 0},
	}
	if random.IntN(2) == 0 {
		report["born"] = slices.Max([]int64{1, time.Now().UnixMilli() + random.Int64N(8e12) - 4e12})
	}
	body, _ := json.Marshal(report) // cannot fail: the map holds only plain values
	b.callDaemon(ctx, callReport+boot, body)
}

// startRefusals makes the servers of one service refuse a share of their requests at random
// times until ctx ends.
func (cl *cluster) startRefusals(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 13))
	cl.wait.Go(func() {
		for ctx.Err() == nil {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*refusalPause))))
			service := []string{serviceA, serviceB}[random.IntN(2)]
			cl.setRefusing(service, true)
			cl.sleep(ctx, refusalDuration)
			cl.setRefusing(service, false)
		}
	})
}

func (cl *cluster) setRefusing(service string, refusing bool) {
	for _, b := range cl.backends {
		if b.service == service {
			b.refusing.Store(refusing)
		}
	}
}
