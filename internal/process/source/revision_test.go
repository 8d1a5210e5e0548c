package source

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// largeOrder returns an order with the given number of routes. The path of one route
// depends on the version.
func largeOrder(version uint64, routes int) *Order {
	m := testManifest("m", version, "s")
	for i := range routes {
		m.Routes = append(m.Routes, manifest.Route{
			Name: fmt.Sprint("r", i), Path: fmt.Sprintf("/r%d/", i), Hosts: []string{"h.example"}, Service: "s", Timeout: time.Second,
		})
	}
	m.Routes[1+int(version)%routes].Path = fmt.Sprintf("/version%d/", version)
	text := fmt.Appendf(nil, `{"version":"r%d","routes":[`, version)
	for _, r := range m.Routes {
		text = fmt.Appendf(text, `{"name":%q,"path_prefix":%q,"kind":"safe","timeout_ms":1000,"service":%q},`, r.Name, r.Path, r.Service)
	}
	return &Order{Manifest: *m, Text: fleet.Pack(text)}
}

// TestEntryCostsWhatItChanges checks that the log entry for one changed route takes less
// than 1 kB in a manifest of 400 routes and in one of 4,000. Entries are sent to every
// source, and most sources are in other failure domains.
func TestEntryCostsWhatItChanges(t *testing.T) {
	c := qt.New(t)
	for _, routes := range []int{400, 4000} {
		m := newStateMachine(logr.Discard(), func(*fleet.State) {})
		c.Assert(mustApplyOrder(t, m, largeOrder(1, routes)).Code, qt.Equals, result.Accepted)
		command, err := m.diffBase.Load().diffCommand(largeOrder(2, routes), time.Unix(5, 0).UTC())
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(command)
		c.Assert(err, qt.IsNil)
		c.Check(len(raw) < 1000, qt.IsTrue, qt.Commentf("%d bytes for one of %d routes", len(raw), routes))
	}
}

// TestOnlyTheNewestIsHandedOut checks that a batch of entries, such as the log after a
// restart, publishes only the final state and not every intermediate one.
func TestOnlyTheNewestIsHandedOut(t *testing.T) {
	c := qt.New(t)
	var versions []uint64
	m := newStateMachine(logr.Discard(), func(s *fleet.State) { versions = append(versions, s.Version) })
	for version := range uint64(10) {
		command, err := m.diffBase.Load().diffCommand(&Order{Manifest: *testManifest("m", version+1, "s")}, time.Unix(5, 0))
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(command)
		c.Assert(err, qt.IsNil)
		_, err = m.Apply(version+1, 1, raw)
		c.Assert(err, qt.IsNil)
	}
	m.BatchApplied()
	m.BatchApplied()
	c.Check(versions, qt.DeepEquals, []uint64{10})
}

// TestRestartHandsOutTheNewest checks that a starting source publishes the state at the end
// of its log and not the state of the snapshot before it. Daemons would otherwise fetch
// both, and a source with an eighth of a CPU would spend 0.1 s on the first.
func TestRestartHandsOutTheNewest(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(1, 8)
	cl.run(60)
	m := cl.members["a"]
	for version := range uint64(11) {
		cl.submit(m, testManifest("m", version+1, "s"))
		cl.run(2)
	}
	cl.crash("a", 0, false)
	c.Assert(cl.start("a"), qt.IsNil)
	var versions []uint64
	m.machine.onState = func(s *fleet.State) { versions = append(versions, s.Version) }
	c.Assert(m.machine.state.Version > 0 && m.machine.state.Version < 10, qt.IsTrue)
	cl.run(60)
	c.Check(versions[0] >= 10, qt.IsTrue, qt.Commentf("%d", versions))
	c.Check(versions[len(versions)-1], qt.Equals, uint64(11))
}

// TestStaleRevisionIsSentWhole checks that a revision with an outdated base is rejected by
// the leader before it enters the log, and by every source if it is already in the log. The
// same order is accepted as a complete manifest.
func TestStaleRevisionIsSentWhole(t *testing.T) {
	c := qt.New(t)
	m := newPopulatedMachine(t)
	old := m.diffBase.Load()
	c.Assert(mustApplyOrder(t, m, &Order{Manifest: *testManifest("a", 4, "t")}).Code, qt.Equals, result.Accepted)
	o := &Order{Manifest: *testManifest("a", 5, "u")}
	stale, err := old.diffCommand(o, time.Unix(6, 0).UTC())
	c.Assert(err, qt.IsNil)
	raw, err := encodeCommand(stale)
	c.Assert(err, qt.IsNil)
	c.Check(m.Check(raw).Code, qt.Equals, result.RevisionStale)
	c.Check(mustApplyCommand(t, m, stale).Code, qt.Equals, result.RevisionStale)
	whole, err := emptyDiffBase.diffCommand(o, time.Unix(6, 0).UTC())
	c.Assert(err, qt.IsNil)
	c.Check(mustApplyCommand(t, m, whole).Code, qt.Equals, result.Accepted)
	c.Check(mustApplyCommand(t, m, stale).Code, qt.Equals, result.AlreadyAccepted)
}

// TestWrongRevisionStopsNobody checks that the leader rejects a revision whose result does
// not match its checksum. A source that finds one in its log stops with an error code
// instead of diverging from the other sources.
func TestWrongRevisionStopsNobody(t *testing.T) {
	c := qt.New(t)
	corruptions := map[string]func(*change){
		"sum":   func(ch *change) { ch.Revision.Sum++ },
		"cut":   func(ch *change) { ch.Revision.Changes = ch.Revision.Changes[1:] },
		"mesh":  func(ch *change) { ch.Revision.Changes[0].Key.Mesh = "b" },
		"kind":  func(ch *change) { ch.Revision.Changes[0].Key.Kind = fleet.KindMesh },
		"text":  func(ch *change) { ch.Text.Base++ },
		"short": func(ch *change) { ch.Text.Size++ },
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			m := newPopulatedMachine(t)
			version, hash := m.state.Version, m.state.Hash()
			command, err := m.diffBase.Load().diffCommand(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
			c.Assert(err, qt.IsNil)
			ch, err := decodeChange(command.Change)
			c.Assert(err, qt.IsNil)
			corrupt(ch)
			command.Change, err = ch.encode()
			c.Assert(err, qt.IsNil)
			raw, err := encodeCommand(command)
			c.Assert(err, qt.IsNil)
			c.Check(m.Check(raw).Code, qt.Equals, result.ManifestInvalid)
			_, err = m.Apply(9, 1, raw)
			var coded *result.Error
			c.Assert(err, qt.ErrorAs, &coded)
			c.Check(coded.Code, qt.Equals, result.StateDiverged)
			c.Check(m.state.Version == version && m.state.Hash() == hash, qt.IsTrue)
		})
	}
}

// TestTextOfAnotherHashStaysOut checks that the leader rejects a text that does not match its
// hash. Otherwise every source would apply it and fail at its next snapshot.
func TestTextOfAnotherHashStaysOut(t *testing.T) {
	c := qt.New(t)
	m := newPopulatedMachine(t)
	command, err := m.diffBase.Load().diffCommand(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
	c.Assert(err, qt.IsNil)
	ch, err := decodeChange(command.Change)
	c.Assert(err, qt.IsNil)
	ch.Text.Sum++
	command.Change, err = ch.encode()
	c.Assert(err, qt.IsNil)
	raw, err := encodeCommand(command)
	c.Assert(err, qt.IsNil)
	refused := m.Check(raw)
	c.Assert(refused, qt.IsNotNil)
	c.Check(refused.Code, qt.Equals, result.ManifestInvalid)
}

// TestRevisionsGiveWhatManifestsGive applies random orders of two meshes, encoded as
// revisions of the newest or of an older manifest, as complete manifests, or in the format
// of the previous release. It compares the state, the route index and the texts with those of
// a state machine that is given complete manifests only.
func TestRevisionsGiveWhatManifestsGive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newStateMachine(logr.Discard(), func(*fleet.State) {})
		b := newStateMachine(logr.Discard(), func(*fleet.State) {})
		bases := []*diffBase{emptyDiffBase}
		for version := range rapid.IntRange(1, 25).Draw(t, "orders") {
			o := drawOrder(t, uint64(version+1))
			base := rapid.SampledFrom(append([]*diffBase{nil, a.diffBase.Load(), a.diffBase.Load(), a.diffBase.Load()}, bases...)).Draw(t, "basis")
			whole := Command{Manifest: o.Manifest, Submitted: time.Unix(5, 0).UTC(), Text: o.Text}
			command := whole
			if base != nil {
				var err error
				if command, err = base.diffCommand(o, time.Unix(5, 0).UTC()); err != nil {
					t.Fatal(err)
				}
			}
			got := applyCommand(t, a, command)
			if got.Code == result.RevisionStale {
				if base == emptyDiffBase || base == a.diffBase.Load() {
					t.Fatalf("stale: %+v", got)
				}
				got = applyCommand(t, a, whole)
			}
			want := applyCommand(t, b, whole)
			if got.Code != want.Code || got.Fleet != want.Fleet || got.Detail != want.Detail {
				t.Fatalf("answered %+v, want %+v", got, want)
			}
			bases = append(bases, a.diffBase.Load())
			compareMachines(t, a, b)
		}
	})
}

// drawOrder draws an order whose routes may conflict with those of the other mesh.
func drawOrder(t *rapid.T, version uint64) *Order {
	m := manifest.Manifest{
		Mesh: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "mesh"), Version: version,
		Hosts: rapid.SampledFrom([][]string{nil, {"x.example"}, {"X.example", "y.example"}}).Draw(t, "hosts"),
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "services") {
		m.Services = append(m.Services, manifest.Service{Name: fmt.Sprint("s", i), Slots: rapid.IntRange(0, 2).Draw(t, "slots")})
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "routes") {
		m.Routes = append(m.Routes, manifest.Route{
			Name: fmt.Sprint("r", i), Path: fmt.Sprintf("/%d", rapid.IntRange(0, 6).Draw(t, "path")), Service: "s0",
			Methods: rapid.SampledFrom([][]string{nil, nil, {"GET"}, {"POST"}}).Draw(t, "methods"),
			Hosts:   rapid.SampledFrom([][]string{nil, nil, {"z.example"}}).Draw(t, "own hosts"),
		})
	}
	o := &Order{Manifest: m}
	if rapid.Bool().Draw(t, "text") {
		o.Text = fleet.Pack([]byte(fmt.Sprintf("%+v", m)))
	}
	return o
}

func applyCommand(t *rapid.T, m *stateMachine, c Command) Answer {
	raw, err := encodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	o, err := m.Apply(1, 1, raw)
	if err != nil {
		t.Fatal(err)
	}
	return o.packedAnswer()
}

func compareMachines(t *rapid.T, a, b *stateMachine) {
	if a.state.Hash() != b.state.Hash() || a.state.Version != b.state.Version {
		t.Fatalf("states differ: %d %x, %d %x", a.state.Version, a.state.Hash(), b.state.Version, b.state.Hash())
	}
	index, err := indexRoutes(a.state)
	if err != nil {
		t.Fatal(err)
	}
	if len(index) != len(a.routes) {
		t.Fatalf("the index holds %d keys, the state %d", len(a.routes), len(index))
	}
	for key, owners := range index {
		if len(a.routes[key]) != len(owners) {
			t.Fatalf("%+v: the index holds %+v, the state %+v", key, a.routes[key], owners)
		}
	}
	for _, mesh := range []string{"a", "b"} {
		textA, errA := documentOrEmpty(a.texts[mesh]).Bytes()
		textB, errB := documentOrEmpty(b.texts[mesh]).Bytes()
		if errA != nil || errB != nil || string(textA) != string(textB) {
			t.Fatalf("texts differ: %q %v, %q %v", textA, errA, textB, errB)
		}
	}
}

// FuzzEntry checks that arbitrary log entries do not cause a panic, that Apply fails only
// for entries that Check rejects, and that only accepted entries change the state.
func FuzzEntry(f *testing.F) {
	m := newPopulatedMachine(f)
	for _, b := range []*diffBase{m.diffBase.Load(), emptyDiffBase} {
		command, err := b.diffCommand(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
		if err != nil {
			f.Fatal(err)
		}
		raw, err := encodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	raw, err := encodeCommand(fullManifestCommand(testManifest("a", 5, "u"), "text"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := newPopulatedMachine(t)
		version, hash := m.state.Version, m.state.Hash()
		refused := m.Check(raw)
		answer, err := m.Apply(9, 1, raw)
		if refused == nil && err != nil {
			t.Fatalf("Check accepted an entry that Apply failed on: %v", err)
		}
		if (err != nil || answer.Code != result.Accepted) && (m.state.Version != version || m.state.Hash() != hash) {
			t.Fatalf("an entry that was not accepted changed the state: %+v, %v", answer, err)
		}
		// Entries rejected by the leader never enter the log.
		if _, err := m.Snapshot(); err != nil && refused == nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkEntry measures applying an entry with one changed route, for manifests of
// several sizes.
func BenchmarkEntry(b *testing.B) {
	for _, routes := range []int{400, 4000, 16000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			const entries = 200
			raws := make([][]byte, entries)
			build := newStateMachine(logr.Discard(), func(*fleet.State) {})
			mustApplyOrder(b, build, largeOrder(1, routes))
			for i := range raws {
				command, err := build.diffBase.Load().diffCommand(largeOrder(uint64(i+2), routes), time.Unix(5, 0).UTC())
				if err != nil {
					b.Fatal(err)
				}
				if raws[i], err = encodeCommand(command); err != nil {
					b.Fatal(err)
				}
				mustApplyCommand(b, build, command)
			}
			b.ReportAllocs()
			b.ResetTimer()
			size := 0
			var m *stateMachine
			for i := range b.N {
				if i%entries == 0 {
					b.StopTimer()
					m = newStateMachine(logr.Discard(), func(*fleet.State) {})
					mustApplyOrder(b, m, largeOrder(1, routes))
					b.StartTimer()
				}
				raw := raws[i%entries]
				size += len(raw)
				if _, err := m.Apply(uint64(i), 1, raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(b.N), "entry-B")
		})
	}
}
