package quorum

import (
	"context"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/result"
)

// counter numbers each distinct command; a resent one gets its first number.
type counter struct{ numbers map[string]uint64 }

func (c *counter) Apply(_, _ uint64, data []byte) (uint64, error) {
	if _, ok := c.numbers[string(data)]; !ok {
		c.numbers[string(data)] = uint64(len(c.numbers)) + 1
	}
	return c.numbers[string(data)], nil
}

func (c *counter) Applied() {}

func (c *counter) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, uint64(len(c.numbers))), nil
}

func (c *counter) Restore([]byte) error { return nil }

// groups are the members of one group in this process, on real files.
type groups struct {
	members map[string]*Group[uint64]
	cancel  map[string]context.CancelFunc
	stopped map[string]*atomic.Bool
	wait    sync.WaitGroup
}

func newGroups(tb testing.TB, tick time.Duration) *groups {
	gs := &groups{members: map[string]*Group[uint64]{}, cancel: map[string]context.CancelFunc{}, stopped: map[string]*atomic.Bool{}}
	ids := []string{"a", "b", "c"}
	dir := tb.TempDir()
	for i, id := range ids {
		g, err := Open(Config{
			ID: id, Members: ids, DataDir: filepath.Join(dir, id), TickInterval: tick,
			ElectionTicks: 10, HeartbeatTicks: 2, Seed: uint64(i), Idempotent: true,
		}, &counter{numbers: map[string]uint64{}}, gs, logr.Discard())
		if err != nil {
			tb.Fatal(err)
		}
		gs.members[id] = g
		gs.stopped[id] = &atomic.Bool{}
	}
	for id, g := range gs.members {
		ctx, cancel := context.WithCancel(context.Background())
		gs.cancel[id] = cancel
		gs.wait.Go(func() { _ = g.Run(ctx) })
	}
	return gs
}

func (gs *groups) stop(id string) {
	gs.stopped[id].Store(true)
	gs.cancel[id]()
}

func (gs *groups) close() {
	for id := range gs.members {
		gs.stop(id)
	}
	gs.wait.Wait()
}

func (gs *groups) leader() string {
	for id, g := range gs.members {
		if g.Leads() && !gs.stopped[id].Load() {
			return id
		}
	}
	return ""
}

// Send implements Transport.
func (gs *groups) Send(to string, messages []replica.Message) {
	if !gs.stopped[to].Load() {
		gs.members[to].Deliver(messages)
	}
}

// Propose implements Transport; a stopped member never answers.
func (gs *groups) Propose(ctx context.Context, to string, data []byte) (Reply, error) {
	if gs.stopped[to].Load() {
		<-ctx.Done()
		return Reply{}, ctx.Err()
	}
	return gs.members[to].Serve(ctx, data), nil
}

// TestProposeThroughElection proposes at a follower before there is a leader,
// and again while the leader is lost: each waits for the new leader within its
// deadline and is applied once.
func TestProposeThroughElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gs := newGroups(t, 50*time.Millisecond)
		defer gs.close()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		first, err := gs.members["a"].Propose(ctx, []byte("first"))
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.Equals, uint64(1))
		lead := gs.leader()
		gs.stop(lead)
		for id, g := range gs.members {
			if id == lead {
				continue
			}
			again, err := g.Propose(ctx, []byte("first"))
			c.Assert(err, qt.IsNil)
			c.Assert(again, qt.Equals, first)
		}
		gs.stop(gs.leader())
		late, expire := context.WithTimeout(context.Background(), 3*time.Second)
		defer expire()
		for id, g := range gs.members {
			if !gs.stopped[id].Load() {
				_, err = g.Propose(late, []byte("second"))
			}
		}
		code := codeOf(err)
		c.Assert(code == result.NoQuorum || code == result.CommitUnknown, qt.IsTrue, qt.Commentf("%v", err))
	})
}

// BenchmarkCommit commits 1 KiB commands on three members with real files.
func BenchmarkCommit(b *testing.B) {
	for _, proposers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("proposers=%d", proposers), func(b *testing.B) { benchmarkCommit(b, proposers) })
	}
}

func benchmarkCommit(b *testing.B, proposers int) {
	gs := newGroups(b, 10*time.Millisecond)
	defer gs.close()
	if _, err := gs.members["a"].Propose(context.Background(), []byte("first")); err != nil {
		b.Fatal(err)
	}
	leader := gs.members[gs.leader()]
	before := leader.Status()
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for range proposers {
		wait.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				data := make([]byte, 1024)
				binary.LittleEndian.PutUint64(data, uint64(i))
				begin := time.Now()
				if _, err := leader.Propose(context.Background(), data); err != nil {
					b.Error(err)
				}
				mu.Lock()
				_ = histogram.RecordValue(int64(time.Since(begin)))
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	after := leader.Status()
	b.ReportMetric(float64(after.Syncs-before.Syncs)/float64(b.N), "syncs/commit")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e6, "p99-ms")
}

// BenchmarkSync is the floor under a commit: one synced 1 KiB append.
func BenchmarkSync(b *testing.B) {
	dir, err := storage.NewOSDir(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	log, _, err := storage.Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 1024)
	for i := range b.N {
		entry := replica.Entry{Index: uint64(i) + 1, Term: 1, Data: data}
		if err := log.Save(replica.Ready{Entries: []replica.Entry{entry}}); err != nil {
			b.Fatal(err)
		}
	}
}
