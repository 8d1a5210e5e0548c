package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The times between two faults, and of one.
const (
	pauseLeast, pauseMost = 200 * time.Millisecond, 1500 * time.Millisecond
	faultLeast, faultMost = 300 * time.Millisecond, 3 * time.Second
	graceTime             = 6 * time.Second
	// catchUp is how long a source with an empty disk still counts as lost.
	catchUp = 4 * time.Second
)

// faults injects faults for a time, in series and overlapping.
func (w *world) faults(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		w.sleep(ctx, pauseLeast+time.Duration(w.random.Int64N(int64(pauseMost-pauseLeast))))
		w.one(faultLeast + time.Duration(w.random.Int64N(int64(faultMost-faultLeast))))
	}
}

// one begins one fault, drawn at random. What is drawn does not depend on time.
func (w *world) one(length time.Duration) {
	kind, target := w.random.IntN(12), w.random.IntN(1<<20)
	d, s := w.daemons[target%len(w.daemons)], w.sources[target%len(w.sources)]
	b := w.backends[target%len(w.backends)]
	switch kind {
	case 0:
		w.killed(length/4, d)
	case 1, 2:
		w.planned(d)
	case 3:
		w.frozen(length, d)
	case 4:
		w.killed(length/4, s)
	case 5:
		w.frozen(length, s)
	case 6:
		w.wipe(s)
	case 7:
		if w.random.IntN(3) == 0 {
			w.killed(length/4, w.daemons...)
		} else {
			w.killed(length/4, w.sources...)
		}
	case 8:
		w.network(length, b, mode(1+w.random.IntN(3)))
	case 9:
		w.during("reset", b.addr, 0, false, func() { b.proxy.resetAll() }, nil)
	case 10:
		w.during("server crash", b.addr, length, false, b.crash, func() { w.must(b.start()) })
	case 11:
		w.during("server leaves", b.addr, 0, true, func() { b.leave(context.Background()); w.must(b.start()) }, nil)
	}
}

// during runs a fault at a target that no other has: begin, and end after its
// length.
func (w *world) during(kind, target string, length time.Duration, planned bool, begin, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy[target] {
		return
	}
	w.busy[target] = true
	w.wait.Go(func() {
		at := time.Now()
		begin()
		if end != nil {
			time.Sleep(length)
			end()
		}
		note(w.history, &w.history.Faults, Fault{Kind: kind, Target: target, At: at, Until: time.Now(), Planned: planned})
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.busy, target)
	})
}

// killed kills processes at one time; they are back after a while.
func (w *world) killed(length time.Duration, list ...*process) {
	for _, p := range list {
		w.during("killed", p.name, length, false,
			func() { p.signal(syscall.SIGKILL, false); <-p.ended }, func() { w.must(w.startProcess(p)) })
	}
}

// planned stops a process as the platform does and starts it again.
func (w *world) planned(p *process) {
	w.during("planned stop", p.name, 0, true, func() {
		p.signal(syscall.SIGTERM, false)
		p.gone(graceTime)
		w.must(w.startProcess(p))
	}, nil)
}

func (w *world) frozen(length time.Duration, p *process) {
	w.during("frozen", p.name, length, false,
		func() { p.signal(syscall.SIGSTOP, true) }, func() { p.signal(syscall.SIGCONT, true) })
}

// wipe takes the disk of a source, if no other is lost.
func (w *world) wipe(p *process) {
	w.mu.Lock()
	free := time.Now().After(w.wiped)
	for _, s := range w.sources {
		free = free && !w.busy[s.name]
	}
	if free {
		w.wiped = time.Now().Add(catchUp)
	}
	w.mu.Unlock()
	if !free {
		return
	}
	w.during("disk lost", p.name, time.Second, false, func() {
		p.signal(syscall.SIGKILL, false)
		<-p.ended
		w.must(os.RemoveAll(filepath.Join(p.dir, "data")))
	}, func() { w.must(w.startProcess(p)) })
}

func (w *world) network(length time.Duration, b *backend, m mode) {
	names := map[mode]string{delay: "delayed", silence: "silenced", oneWay: "cut one way"}
	w.during(names[m], b.addr, length, false,
		func() { b.proxy.mode.Store(int32(m)) }, func() { b.proxy.mode.Store(int32(pass)); b.proxy.resetAll() })
}

// heal waits for the faults under way and marks the begin of the calm.
func (w *world) heal() {
	for {
		w.mu.Lock()
		n := len(w.busy)
		w.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.history.Calm = time.Now().Add(recovery - calm)
}

// must ends the run where the soak itself fails: a fault that is not ended would
// be blamed on the programs.
func (w *world) must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		w.end()
		os.Exit(2)
	}
}
