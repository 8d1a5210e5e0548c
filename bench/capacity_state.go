package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/report"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	versions "github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

const (
	// changeCount is the number of changes over which the cost of one is averaged.
	changeCount = 200
	// presenceInterval is the value of all presence intervals. Nothing here waits for them.
	presenceInterval = time.Minute
	linkName         = "link"
)

// liveHeap returns the heap bytes in use after garbage collection.
func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sweepPresence fills the presence table and the directory of one daemon, up to the size of the
// whole fleet, and measures the cost of a change of one server. No daemon runs.
func (c *capacity) sweepPresence(ctx context.Context, r *run) error {
	snap, err := compileManifest(fleet.Shape{Services: targetRoutes / routesPerService, Routes: targetRoutes})
	if err != nil {
		return err
	}
	for _, known := range c.knownDaemons {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		before := liveHeap()
		table := newPresenceTable(snap)
		for i := range known {
			table.receive(i, 1)
		}
		heapBytes := liveHeap() - before
		begin := time.Now()
		for i := range changeCount {
			table.receive(i%known, uint64(2+i/known))
		}
		took := time.Since(begin) / changeCount
		at := float64(known)
		r.report.Add("presence, state", roleDaemon, at, report.MiB, heapBytes/(1<<20))
		r.report.Add("presence, processor a change", roleDaemon, at, report.Microseconds, float64(took.Nanoseconds())/1000)
		runtime.KeepAlive(table)
	}
	return nil
}

// presenceTable is the presence state of one daemon with the directory built from it.
type presenceTable struct {
	core    *presence.Core
	builder *directory.Builder
	current *directory.Directory
	now     time.Time
}

func newPresenceTable(snap *snapshot.Snapshot) *presenceTable {
	t := &presenceTable{now: time.Unix(0, 0)}
	t.core = presence.New(presence.Config{
		Self: view.Node{Name: "self", Domain: "d00"}, Incarnation: 1,
		DigestInterval: presenceInterval, SuspectFor: presenceInterval, ForgetAfter: presenceInterval, ProbeInterval: presenceInterval,
	})
	t.core.LinkUp(t.now, linkName, true)
	t.builder = directory.NewBuilder(snap, t.core.All())
	return t
}

// receive processes the record of one daemon and rebuilds the directory.
func (t *presenceTable) receive(i int, seq uint64) {
	record := presence.Record{
		Node: view.Node{
			Name: fmt.Sprintf("n%05d", i), Addr: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1),
			Region: fmt.Sprintf("r%d", i%5), Domain: fmt.Sprintf("d%02d", i%maxDomains),
		},
		Incarnation: 1, Seq: seq,
		Servers: []presence.Server{{
			Mesh: fleet.MeshName, Service: fleet.ServiceName(i % (targetRoutes / routesPerService)),
			Addr:  fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1),
			Slots: int(seq), Connections: 110, State: presence.Serving,
		}},
	}
	message := presence.Message{Type: presence.MsgRecords, Records: []presence.Record{record}}
	for _, action := range t.core.Receive(t.now, linkName, message) {
		if action.Change != nil {
			t.builder.Apply(action.Change)
		}
	}
	t.current = t.builder.Build(t.core.All())
}

func compileManifest(shape fleet.Shape) (*snapshot.Snapshot, error) {
	state, err := versions.Empty().Accept(shape.Manifest(1))
	if err != nil {
		return nil, err
	}
	return snapshot.Compile(state)
}

// sweepVersion measures the memory of versions of several sizes and the cost of applying a change
// of one route. No daemon runs.
func (c *capacity) sweepVersion(ctx context.Context, r *run) error {
	for _, routes := range c.versionRoutes {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err := measureVersion(r.report, fleet.Shape{Services: routes / routesPerService, Routes: routes}); err != nil {
			return err
		}
	}
	return nil
}

func measureVersion(rep *report.Report, shape fleet.Shape) error {
	before := liveHeap()
	state, err := versions.Empty().Accept(shape.Manifest(1))
	if err != nil {
		return err
	}
	compiled, err := snapshot.Compile(state)
	if err != nil {
		return err
	}
	heapBytes := liveHeap() - before
	encoded, err := state.Snapshot().Encode()
	if err != nil {
		return err
	}
	next, err := state.Accept(shape.Manifest(2))
	if err != nil {
		return err
	}
	delta := versions.Diff(state, next)
	begin := time.Now()
	for range changeCount / 10 {
		after, err := state.Apply(delta)
		if err != nil {
			return err
		}
		if compiled, err = snapshot.Compile(after); err != nil {
			return err
		}
	}
	took := time.Since(begin) / (changeCount / 10)
	at := float64(shape.Routes)
	rep.Add("version, state", roleDaemon, at, report.MiB, heapBytes/(1<<20))
	rep.Add("version, snapshot encoded", roleDaemon, at, report.Bytes, float64(len(encoded)))
	rep.Add("version, processor a change", roleDaemon, at, report.Microseconds, float64(took.Nanoseconds())/1000)
	runtime.KeepAlive(state)
	runtime.KeepAlive(compiled)
	return nil
}
