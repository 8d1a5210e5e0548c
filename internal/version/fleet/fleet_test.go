package fleet

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestHistoryMerges applies merged deltas, after packing and unpacking them, to their
// start version and to each version in between, and compares the results with the
// newest state. It also checks that the newest state rejects snapshots of older ones.
func TestHistoryMerges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := History{Count: rapid.IntRange(1, 20).Draw(t, "count"), Bytes: rapid.IntRange(100, 10000).Draw(t, "bytes")}
		chain := []*State{Empty()}
		for version := range rapid.IntRange(1, 30).Draw(t, "versions") {
			last := chain[len(chain)-1]
			m := &manifest.Manifest{Mesh: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "mesh"), Version: uint64(version + 1)}
			for i := range 4 {
				if slots := rapid.IntRange(0, 3).Draw(t, "slots"); slots > 0 {
					m.Services = append(m.Services, manifest.Service{Name: fmt.Sprint("s", i), Slots: slots})
				}
			}
			next, err := last.Accept(m)
			if err != nil {
				t.Fatal(err)
			}
			h.Add(Diff(last, next))
			chain = append(chain, next)
		}
		last := chain[len(chain)-1]
		inRange := false
		for from, state := range chain[:len(chain)-1] {
			delta, found := h.Since(uint64(from))
			if inRange = inRange || found; found != inRange {
				t.Fatalf("history has a gap at version %d", from)
			}
			for _, s := range chain[from:] {
				if !found {
					break
				}
				if got, err := s.Apply(repack(t, delta)); err != nil || got.Hash() != last.Hash() || got.Version != last.Version {
					t.Fatalf("delta from %d applied at version %d: %v", from, s.Version, err)
				}
			}
			if _, err := last.Apply(Diff(Empty(), state)); err == nil {
				t.Fatalf("version %d accepted a delta back to %d", last.Version, state.Version)
			}
		}
	})
}

// repack returns d after it was encoded, packed, unpacked and decoded.
func repack(t *rapid.T, d *Delta) *Delta {
	raw, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	raw, err = Unpack(Pack(raw), len(raw))
	if err != nil {
		t.Fatal(err)
	}
	d, err = DecodeDelta(raw)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestUnpackIsBounded(t *testing.T) {
	c := qt.New(t)
	packed := Pack(bytes.Repeat([]byte("daisygate"), 1<<20))
	c.Assert(len(packed) < 1<<12, qt.IsTrue)
	_, err := Unpack(packed, 1<<20)
	c.Assert(err, qt.ErrorIs, ErrTooLarge)
	for _, bad := range [][]byte{nil, {9, 1, 2}, packed[:len(packed)/2], make([]byte, 1<<20+2)} {
		_, err := Unpack(bad, 1<<20)
		c.Assert(err, qt.IsNotNil)
	}
}

// largeState returns a state of the size that the system is designed for, 400 services
// and 2,000 routes, and its manifest.
func largeState(c *qt.C) (*State, *manifest.Manifest) {
	m := &manifest.Manifest{Mesh: "m", Version: 1}
	for i := range 400 {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprintf("service-%d", i), Allow: []string{"10.0.0.0/8"}})
	}
	for i := range 2000 {
		m.Routes = append(m.Routes, manifest.Route{Name: fmt.Sprintf("route-%d", i), Path: fmt.Sprintf("/path/%d", i), Service: fmt.Sprintf("service-%d", i%400)})
	}
	s, err := Empty().Accept(m)
	c.Assert(err, qt.IsNil)
	return s, m
}

// BenchmarkApply applies a change of one route to a large state.
func BenchmarkApply(b *testing.B) {
	c := qt.New(b)
	s, m := largeState(c)
	m.Version++
	m.Routes[0].Priority++
	next, err := s.Accept(m)
	c.Assert(err, qt.IsNil)
	d := Diff(s, next)
	raw, err := d.Encode()
	c.Assert(err, qt.IsNil)
	full, err := next.Snapshot().Encode()
	c.Assert(err, qt.IsNil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "delta-B")
	b.ReportMetric(float64(len(full)), "snapshot-B")
	b.ReportMetric(float64(len(Pack(full))), "packed-snapshot-B")
}

// BenchmarkKept reports the heap size of 64 versions that differ in one route, kept as
// complete states and as deltas.
func BenchmarkKept(b *testing.B) {
	c := qt.New(b)
	for b.Loop() {
		s, m := largeState(c)
		h := History{Count: 64, Bytes: 1 << 20}
		var states []*State
		s, err := s.Apply(Diff(Empty(), s))
		c.Assert(err, qt.IsNil)
		before := heapBytes()
		for range 64 {
			m.Version++
			m.Routes[0].Priority++
			next, err := s.Accept(m)
			c.Assert(err, qt.IsNil)
			applied, err := s.Apply(Diff(s, next))
			c.Assert(err, qt.IsNil)
			h.Add(Diff(s, applied))
			states, s = append(states, applied), applied
		}
		withStates := heapBytes() - before
		runtime.KeepAlive(states)
		states = nil
		b.ReportMetric(withStates/1024, "states-KiB")
		b.ReportMetric((heapBytes()-before)/1024, "deltas-KiB")
		runtime.KeepAlive(m)
		runtime.KeepAlive(&h)
		runtime.KeepAlive(s)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
