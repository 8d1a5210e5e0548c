package directory_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

const services = 400

func compiledSnapshot(tb testing.TB) *snapshot.Snapshot {
	m := &manifest.Manifest{Mesh: "mesh", Version: 1}
	for i := range services {
		m.Services = append(m.Services, manifest.Service{Name: serviceName(i)})
	}
	state, err := fleet.Empty().Accept(m)
	qt.Assert(tb, err, qt.IsNil)
	snap, err := snapshot.Compile(state)
	qt.Assert(tb, err, qt.IsNil)
	return snap
}

func serviceName(i int) string { return fmt.Sprintf("service%d", i%services) }

func record(i int, state presence.ServerState) *presence.Record {
	return &presence.Record{
		Node: view.Node{Name: fmt.Sprintf("node%05d", i), Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Region: "r1", Domain: "d1"},
		Servers: []presence.Server{{
			Mesh: "mesh", Service: serviceName(i), Addr: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Slots: 20, Connections: 110, State: state, Since: 1,
		}},
	}
}

// TestBuilder applies random changes to a builder and compares it with a new builder for
// the resulting records. A directory that was built earlier must not change.
func TestBuilder(t *testing.T) {
	c := qt.New(t)
	snap := compiledSnapshot(t)
	r := rand.New(rand.NewPCG(1, 1))
	current := make([]*presence.Record, 50)
	b := directory.NewBuilder(snap, nil)
	var earlier *directory.Directory
	var earlierNodes string
	for step := range 500 {
		i := r.IntN(len(current))
		next := record(i, presence.ServerState(r.IntN(4)))
		next.Leaving = r.IntN(5) == 0
		if r.IntN(4) == 0 {
			next = nil
		}
		b.Apply(&presence.Change{Old: current[i], New: next})
		current[i] = next
		got, want := candidateNodes(b.Build(nil)), candidateNodes(directory.NewBuilder(snap, nonNil(current)).Build(nil))
		c.Assert(got, qt.Equals, want, qt.Commentf("step %d", step))
		if step == 250 {
			earlier = b.Build(nil)
			earlierNodes = candidateNodes(earlier)
		}
	}
	c.Assert(candidateNodes(earlier), qt.Equals, earlierNodes)
}

func nonNil(records []*presence.Record) []*presence.Record {
	var list []*presence.Record
	for _, r := range records {
		if r != nil {
			list = append(list, r)
		}
	}
	return list
}

// candidateNodes returns the node names of all candidates, in order of the services.
func candidateNodes(d *directory.Directory) string {
	var text string
	for i := range services {
		for _, candidate := range d.Candidates(snapshot.ServiceKey{Mesh: "mesh", Name: serviceName(i)}) {
			text += candidate.Node.Name + " "
		}
	}
	return text
}

// BenchmarkChange compares applying one change and building a directory with rebuilding
// from all records.
func BenchmarkChange(b *testing.B) {
	snap := compiledSnapshot(b)
	for _, size := range []int{100, 1000, 5000, 10000} {
		records := make([]*presence.Record, size)
		for i := range records {
			records[i] = record(i, presence.Serving)
		}
		states := []*presence.Record{records[size/2], record(size/2, presence.Draining)}
		b.Run(fmt.Sprintf("incremental/%d", size), func(b *testing.B) {
			builder := directory.NewBuilder(snap, records)
			b.ResetTimer()
			for i := range b.N {
				builder.Apply(&presence.Change{Old: states[i%2], New: states[(i+1)%2]})
				builder.Build(append([]*presence.Record(nil), records...))
			}
		})
		b.Run(fmt.Sprintf("rebuild/%d", size), func(b *testing.B) {
			for range b.N {
				directory.NewBuilder(snap, records).Build(records)
			}
		})
	}
}
