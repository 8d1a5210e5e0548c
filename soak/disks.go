package main

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

const (
	// diskFaultPause is the mean time between two faults of disks, and diskFaultDuration the
	// longest of them.
	diskFaultPause    = 1500 * time.Millisecond
	diskFaultDuration = 3 * time.Second
)

// diskFaults are the sets of operations that fail at the same time, as the test build of the
// program reads them.
var diskFaults = []string{"write", "create write", "sync", "rename", "sync-folder", "create write sync rename sync-folder"}

// diskFaultPath returns the path of the file that lists the disk operations of a process that fail.
func (p *process) diskFaultPath() string { return filepath.Join(p.dir, "disk-faults") }

// startDiskFaults makes the disks of sources fail at random times until ctx ends, one after the
// other or several at once, also while the source stops and starts. At the end all are sound.
func (cl *cluster) startDiskFaults(ctx context.Context) {
	for i, p := range cl.sources {
		random := rand.New(rand.NewPCG(cl.o.Seed, uint64(29+i)))
		cl.wait.Go(func() {
			for ctx.Err() == nil {
				cl.sleep(ctx, time.Duration(random.Int64N(int64(2*diskFaultPause*sourceCount))))
				cl.failDisk(ctx, p, diskFaults[random.IntN(len(diskFaults))], time.Duration(random.Int64N(int64(diskFaultDuration))))
			}
		})
	}
}

// failDisk makes the listed operations on the disk of a source fail for the duration.
func (cl *cluster) failDisk(ctx context.Context, p *process, operations string, duration time.Duration) {
	if ctx.Err() != nil {
		return
	}
	at := time.Now()
	cl.must(os.WriteFile(p.diskFaultPath(), []byte(operations), 0o600))
	cl.sleep(ctx, duration)
	cl.must(os.Remove(p.diskFaultPath()))
	record(cl.history, &cl.history.Faults, Fault{Kind: "disk refuses " + operations, Target: p.name, At: at, Until: time.Now()})
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.extendRepair(p.name)
}
