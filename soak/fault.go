package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// The time between two faults and the duration of one.
const (
	minPause, maxPause                 = 200 * time.Millisecond, 1500 * time.Millisecond
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 3 * time.Second
	stopTimeout                        = 6 * time.Second
	// diskLossDuration is how long a source is down whose data folder is deleted.
	diskLossDuration = time.Second
	// catchUpTime is how long a source counts as unavailable after its disk was wiped.
	catchUpTime = 4 * time.Second
)

// injectFaults starts faults at random intervals for the given duration. Faults may overlap.
func (cl *cluster) injectFaults(ctx context.Context, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		cl.sleep(ctx, minPause+time.Duration(cl.random.Int64N(int64(maxPause-minPause))))
		cl.startRandomFault(minFaultDuration + time.Duration(cl.random.Int64N(int64(maxFaultDuration-minFaultDuration))))
	}
}

// startRandomFault starts one random fault. The random choices do not depend on time, so
// that a seed gives the same sequence.
func (cl *cluster) startRandomFault(duration time.Duration) {
	kind, target := cl.random.IntN(12), cl.random.IntN(1<<20)
	d, s := cl.daemons[target%len(cl.daemons)], cl.sources[target%len(cl.sources)]
	b := cl.backends[target%len(cl.backends)]
	switch kind {
	case 0:
		cl.kill(duration/4, d)
	case 1, 2:
		cl.restart(d)
	case 3:
		cl.freeze(duration, d)
	case 4:
		cl.kill(duration/4, s)
	case 5:
		cl.freeze(duration, s)
	case 6:
		cl.wipeDisk(s)
	case 7:
		if cl.random.IntN(3) == 0 {
			cl.kill(duration/4, cl.daemons...)
		} else {
			cl.kill(duration/4, cl.sources...)
		}
	case 8:
		cl.disruptNetwork(duration, b, mode(1+cl.random.IntN(3)))
	case 9:
		cl.runFault("reset", b.addr, 0, false, func() { b.proxy.resetAll() }, nil)
	case 10:
		cl.runFault("server crash", b.addr, duration, false, b.crash, func() { cl.must(b.start()) })
	case 11:
		stated := cl.random.IntN(2) == 0
		cl.runFault("server leaves", b.addr, 0, true, func() { b.leave(context.Background(), stated); cl.must(b.start()) }, nil)
	}
}

// runFault runs a fault at a target that has no other fault: it calls begin and, after the
// duration, end.
func (cl *cluster) runFault(kind, target string, duration time.Duration, planned bool, begin, end func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.activeFaults[target] {
		return
	}
	cl.activeFaults[target] = true
	cl.wait.Go(func() {
		at := time.Now()
		begin()
		if end != nil {
			time.Sleep(duration)
			end()
		}
		record(cl.history, &cl.history.Faults, Fault{Kind: kind, Target: target, At: at, Until: time.Now(), Planned: planned})
		cl.mu.Lock()
		defer cl.mu.Unlock()
		delete(cl.activeFaults, target)
		cl.extendRepair(target)
	})
}

// kill kills processes at the same time and starts them again after the duration.
func (cl *cluster) kill(duration time.Duration, list ...*process) {
	for _, p := range list {
		cl.runFault("killed", p.name, duration, false,
			func() { p.signal(syscall.SIGKILL, false); <-p.exited }, func() { cl.must(cl.startProcess(p)) })
	}
}

// restart stops a process with SIGTERM, as the platform does, and starts it again.
func (cl *cluster) restart(p *process) {
	cl.runFault("planned stop", p.name, 0, true, func() {
		p.signal(syscall.SIGTERM, false)
		p.waitExit(stopTimeout)
		cl.must(cl.startProcess(p))
	}, nil)
}

func (cl *cluster) freeze(duration time.Duration, p *process) {
	cl.runFault("frozen", p.name, duration, false,
		func() { p.signal(syscall.SIGSTOP, true) }, func() { p.signal(syscall.SIGCONT, true) })
}

// wipeDisk kills a source and deletes its data folder, unless another source has a fault.
func (cl *cluster) wipeDisk(p *process) {
	if cl.reserveDiskLoss(catchUpTime) {
		cl.loseDisk(p)
	}
}

// loseDisk kills a source, deletes its data folder, and starts it again.
func (cl *cluster) loseDisk(p *process) {
	cl.runFault("disk lost", p.name, diskLossDuration, false, func() {
		p.signal(syscall.SIGKILL, false)
		<-p.exited
		cl.must(os.RemoveAll(filepath.Join(p.dir, "data")))
	}, func() { cl.must(cl.startProcess(p)) })
}

// reserveDiskLoss reports whether a source may lose its disk now, and then blocks other such
// losses until this one is repaired. No other source may have a fault.
func (cl *cluster) reserveDiskLoss(repair time.Duration) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if time.Now().Before(cl.wipeBlockedUntil) {
		return false
	}
	for _, s := range cl.sources {
		if cl.activeFaults[s.name] {
			return false
		}
	}
	cl.wipeBlockedUntil, cl.repairTime = time.Now().Add(repair), repair
	return true
}

// extendRepair lets the repair of a lost disk begin again at the end of a fault at a source. The
// sources are made to lose one of them at a time, and the repair makes no progress while another
// one is away. The caller must hold mu.
func (cl *cluster) extendRepair(target string) {
	isSource := slices.ContainsFunc(cl.sources, func(s *process) bool { return s.name == target })
	if isSource && time.Now().Before(cl.wipeBlockedUntil) {
		cl.wipeBlockedUntil = time.Now().Add(cl.repairTime)
	}
}

// impairments are the kinds of the faults that impair the connection to a server, by mode.
var impairments = [...]string{modeDelay: "delayed", modeSilence: "silenced", modeOneWay: "cut one way"}

func (cl *cluster) disruptNetwork(duration time.Duration, b *backend, m mode) {
	cl.runFault(impairments[m], b.addr, duration, false,
		func() { b.proxy.mode.Store(int32(m)) }, func() { b.proxy.mode.Store(int32(modePass)); b.proxy.resetAll() })
}

// awaitFaultEnds waits for the active faults to end and sets the start of the steady phase.
func (cl *cluster) awaitFaultEnds() {
	for {
		cl.mu.Lock()
		n := len(cl.activeFaults)
		cl.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	cl.history.SteadyFrom = time.Now().Add(recoveryTime - steadyTime)
}

// must exits if the soak itself fails: a fault that does not end would be counted against
// the programs under test.
func (cl *cluster) must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		cl.stop()
		os.Exit(2)
	}
}
