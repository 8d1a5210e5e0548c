package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

const (
	// leavePause is the mean time between two servers that leave beside restarts of daemons.
	leavePause = 4 * time.Second
	// maxServeAfterLeave is how long a server serves at most after drainGrace has passed.
	maxServeAfterLeave = 4 * time.Second
	// maxReportDelay is the longest delay of a report.
	maxReportDelay = 3 * time.Second
	// maxDaemonRestarts is the maximum number of restarts of a daemon beside one leave.
	maxDaemonRestarts = 2
	// maxRestartTime is how long a daemon is away at most.
	maxRestartTime = 300 * time.Millisecond
)

// departure is one leave of a server, drawn from the seed.
type departure struct {
	// deregisters is set if the server deregisters first; else it reports that it is draining.
	deregisters bool
	// before and after are the numbers of restarts of the local daemon around the leave. all
	// restarts every process after the leave instead.
	before, after int
	all           bool
	// delay is how late a report from before the leave arrives after the restarts.
	delay time.Duration
	// serves is how long the server serves after the leave.
	serves time.Duration
}

func drawDeparture(random *rand.Rand) departure {
	return departure{
		deregisters: random.IntN(2) == 0,
		before:      random.IntN(maxDaemonRestarts + 1), after: random.IntN(maxDaemonRestarts + 1),
		all:    random.IntN(8) == 0,
		delay:  time.Duration(random.Int64N(int64(maxReportDelay))),
		serves: drainGrace + time.Duration(random.Int64N(int64(maxServeAfterLeave))),
	}
}

// startDepartures lets servers leave beside restarts of daemons and delayed reports until ctx
// ends. Departures of different servers may overlap.
func (cl *cluster) startDepartures(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 29))
	cl.wait.Go(func() {
		for {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*leavePause))))
			if ctx.Err() != nil {
				return
			}
			i, d := random.IntN(len(cl.backends)), drawDeparture(random)
			b, p := cl.backends[i], cl.daemons[i]
			cl.runFault("server leaves beside restarts", b.addr, 0, true, func() { cl.depart(b, p, d); cl.must(b.start()) }, nil)
		}
	})
}

// depart makes a server leave and stops it.
func (cl *cluster) depart(b *backend, local *process, d departure) {
	ctx := context.Background()
	cl.restartRepeatedly(local, d.before)
	boot, delayed := b.nextReport()
	b.setDraining(!d.deregisters)
	if b.stateLeave(ctx, d.deregisters) {
		record(b.history, &b.history.Drains, AckedDrain{Boot: boot, At: time.Now()})
	}
	left := time.Now()
	if d.all {
		cl.kill(maxRestartTime, cl.processes()...)
		time.Sleep(maxRestartTime)
	} else {
		cl.restartRepeatedly(local, d.after)
	}
	time.Sleep(d.delay)
	b.callDaemon(ctx, callReport+boot, delayed)
	time.Sleep(time.Until(left.Add(d.serves)))
	if !d.deregisters {
		b.callDaemon(ctx, callLeave+boot, b.endOfBoot())
	}
	b.crash()
}

// restartRepeatedly kills the daemon and starts it again several times, unless it has a fault.
func (cl *cluster) restartRepeatedly(p *process, times int) {
	for i := range times {
		duration := time.Duration(i+1) * maxRestartTime / maxDaemonRestarts
		cl.kill(duration, p)
		time.Sleep(duration + maxRestartTime)
	}
}

// stateLeave tells the local daemon that the server leaves until that is acknowledged, and reports
// whether it was.
func (b *backend) stateLeave(ctx context.Context, deregisters bool) bool {
	for range maxLeaveAttempts {
		if deregisters {
			if b.callDaemon(ctx, callLeave+b.currentBoot(), b.endOfBoot()) {
				return true
			}
		} else if b.sendReport(ctx) {
			return true
		}
		time.Sleep(reportInterval)
	}
	return false
}

func (b *backend) currentBoot() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boot
}

func (b *backend) setDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining, b.silent, b.unhealthy = draining, !draining, true
}

// endOfBoot returns the body of a deregistration. Only some servers state their start time in it.
func (b *backend) endOfBoot() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.statesStart || b.boots%2 == 0 {
		return nil
	}
	body, _ := json.Marshal(map[string]any{"born": b.started.UnixMilli()}) // cannot fail: the map holds only plain values
	return body
}
