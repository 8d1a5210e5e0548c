package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// replacementPause is the mean time between two replacements of a source.
	replacementPause = 4 * time.Second
	// replacementTime is how long a source counts as unavailable after it was replaced: the
	// others first have to miss the one that is gone.
	replacementTime = 4*time.Second + catchUpTime
	// lateStart is how much later than the others the last source starts at the first start.
	lateStart = 250 * time.Millisecond
	// replacedHosts is the difference of the host parts of a source's address and that of
	// its replacement.
	replacedHosts = 10
	// maxReplacements keeps the addresses of replacements below those of the daemons.
	maxReplacements = 9
)

// startReplacements replaces sources at random times until ctx ends.
func (cl *cluster) startReplacements(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 23))
	cl.wait.Go(func() {
		for ctx.Err() == nil {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*replacementPause))))
			cl.replaceSource(cl.sources[random.IntN(len(cl.sources))])
		}
	})
}

// replaceSource removes a source permanently and starts another one in its place, with an
// empty disk and at a new address, unless another source has a fault. The settings files of
// all processes then name the new address.
func (cl *cluster) replaceSource(p *process) {
	if p.replacements.Load() == maxReplacements || !cl.reserveDiskLoss(replacementTime) {
		return
	}
	cl.runFault("replaced", p.name, 0, false, func() {
		p.signal(syscall.SIGKILL, false)
		<-p.exited
		cl.must(os.RemoveAll(filepath.Join(p.dir, "data")))
		p.replacements.Add(1)
		for _, other := range cl.processes() {
			cl.must(cl.rewriteSettings(other))
		}
		cl.must(cl.startProcess(p))
	}, nil)
}

// rewriteSettings replaces the settings file of a process that may be running.
func (cl *cluster) rewriteSettings(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cl.writeSettings(p)
}

// losePowerAndDisk stops all sources at the same time, deletes the data folder of one, and
// starts them again.
func (cl *cluster) losePowerAndDisk(ctx context.Context) {
	cl.mu.Lock()
	repaired := time.Until(cl.wipeBlockedUntil)
	cl.mu.Unlock()
	cl.sleep(ctx, repaired)
	lost := cl.random.IntN(len(cl.sources))
	for i, p := range cl.sources {
		if i == lost {
			cl.loseDisk(p)
			continue
		}
		cl.kill(diskLossDuration, p)
	}
	cl.awaitFaultEnds()
}

// ip returns the current address of the process.
func (p *process) ip() string {
	return fmt.Sprintf("%s.%d", p.network, p.host+replacedHosts*int(p.replacements.Load()))
}
