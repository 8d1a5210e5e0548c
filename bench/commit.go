package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// systemFsync is a loop that writes to and syncs one file on the same disk.
	systemFsync = "raw fsync loop"
	// commitFleetSize is the number of sources; the fleet has no other daemons.
	commitFleetSize = 3
)

// commit measures the acceptance of manifests by three sources with real files.
type commit struct {
	operators   []int
	phase       time.Duration
	recordBytes int
}

func newCommit() *cobra.Command {
	c := &commit{}
	flags := func(f *pflag.FlagSet) {
		f.IntSliceVar(&c.operators, "operators", []int{1, 4, 16, 64}, "operators that submit at the same time, each to its own mesh")
		f.DurationVar(&c.phase, "phase", 3*time.Second, "length of each phase")
		f.IntVar(&c.recordBytes, "record", 512, "bytes of each write of the raw fsync loop")
	}
	return newRun("commit", "Commits a second on three sources, and syncs for each commit", "operators", flags, c.measure)
}

func (c *commit) measure(ctx context.Context, r *run) error {
	r.report.Note("operators call the daemons' code in this process: the operator API of a daemon admits no more than 50 requests a second")
	dir, err := r.tempDir()
	if err != nil {
		return err
	}
	o, err := r.fleetOptions(commitFleetSize)
	if err != nil {
		return err
	}
	f, err := fleet.NewShared(o)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := changeEverywhere(ctx, f, smallManifest(0, 1), firstVersionTimeout); err != nil {
		return err
	}
	versions := map[int]uint64{0: 1}
	for _, operators := range c.operators {
		if err := c.measureFsync(r.report, dir, operators); err != nil {
			return err
		}
		c.measurePhase(ctx, r, f, operators, versions)
	}
	return nil
}

// smallManifest returns the manifest of the mesh of one operator.
func smallManifest(operator int, version uint64) *manifest.Manifest {
	name := fmt.Sprintf("mesh-%03d", operator)
	return &manifest.Manifest{
		Mesh: name, Version: version, Hosts: []string{name + ".example"},
		Services: []manifest.Service{{Name: "service", Allow: []string{"127.0.0.0/8"}}},
		Routes: []manifest.Route{{
			Name: "route", Path: "/", Service: "service",
			Timeout: manifest.DefaultTimeout + time.Duration(version)*time.Millisecond,
		}},
	}
}

// measureFsync measures the rate at which one writer can write and sync records on the disk.
func (c *commit) measureFsync(rep *report.Report, dir string, operators int) error {
	file, err := os.Create(filepath.Join(dir, "raw"))
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer func() { _ = file.Close() }()
	record := make([]byte, c.recordBytes)
	var took []time.Duration
	begin := time.Now()
	for time.Since(begin) < c.phase/2 {
		at := time.Now()
		if _, err := file.Write(record); err != nil {
			return errors.Wrap(err, "write record")
		}
		if err := file.Sync(); err != nil {
			return errors.Wrap(err, "sync file")
		}
		took = append(took, time.Since(at))
	}
	rep.Add("a second", systemFsync, float64(operators), report.PerSecond, float64(len(took))/time.Since(begin).Seconds())
	rep.AddDurations("latency", systemFsync, float64(operators), took)
	return nil
}

// measurePhase lets operators submit versions one after another. versions holds the last version of
// each operator's mesh.
func (c *commit) measurePhase(ctx context.Context, r *run, f *fleet.Shared, operators int, versions map[int]uint64) {
	before := countSyncs(f)
	ctx, cancel := context.WithTimeout(ctx, c.phase)
	defer cancel()
	var mu sync.Mutex
	var took []time.Duration
	var wait sync.WaitGroup
	begin := time.Now()
	for operator := range operators {
		last := versions[operator]
		wait.Go(func() {
			latencies, version := submitVersions(ctx, f, operator, last)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, latencies...)
			versions[operator] = version
		})
	}
	wait.Wait()
	seconds := time.Since(begin).Seconds()
	after := countSyncs(f)
	at := float64(operators)
	r.report.Add("a second", f.Name(), at, report.PerSecond, float64(len(took))/seconds)
	r.report.AddDurations("latency", f.Name(), at, took)
	for i, name := range []string{"syncs a commit, leader", "syncs a commit, mean source"} {
		r.report.Add(name, f.Name(), at, report.Count, (after[i]-before[i])/float64(max(1, len(took))))
	}
}

// submitVersions submits versions until ctx ends. It returns the latency of each accepted version
// and the last version submitted.
func submitVersions(ctx context.Context, f *fleet.Shared, operator int, version uint64) ([]time.Duration, uint64) {
	var took []time.Duration
	for ctx.Err() == nil {
		version++
		begin := time.Now()
		answer, err := f.Daemon(operator%commitFleetSize).Submit(ctx, smallManifest(operator, version))
		if err == nil && answer.Code == result.Accepted {
			took = append(took, time.Since(begin))
		}
	}
	return took, version
}

// countSyncs returns the number of syncs of the leader and the mean of all sources.
func countSyncs(f *fleet.Shared) [2]float64 {
	var leader, sum float64
	for member := range f.Sources() {
		status := f.Daemon(member).NodeStatus()
		syncs := float64(status.Source.Syncs)
		sum += syncs
		if status.Source.Role == replica.Leader.String() {
			leader = syncs
		}
	}
	return [2]float64{leader, sum / float64(f.Sources())}
}
