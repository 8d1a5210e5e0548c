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

// largeOrder is an order of so many routes; the path of one follows the version.
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

// TestEntryCostsWhatItChanges holds that the entry of one changed route takes less than
// 1 kB in a manifest of 400 routes as in one of 4,000: entries go to each source, most of
// them in other failure domains.
func TestEntryCostsWhatItChanges(t *testing.T) {
	c := qt.New(t)
	for _, routes := range []int{400, 4000} {
		m := newMachine(logr.Discard(), func(*fleet.State) {})
		c.Assert(applied(t, m, largeOrder(1, routes)).Code, qt.Equals, result.Accepted)
		command, err := m.basis.Load().revise(largeOrder(2, routes), time.Unix(5, 0).UTC())
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(command)
		c.Assert(err, qt.IsNil)
		c.Check(len(raw) < 1000, qt.IsTrue, qt.Commentf("%d bytes for one of %d routes", len(raw), routes))
	}
}

// TestOnlyTheNewestIsHandedOut holds that a batch of entries, such as the log after a
// restart, puts one state in force and not each in turn.
func TestOnlyTheNewestIsHandedOut(t *testing.T) {
	c := qt.New(t)
	var versions []uint64
	m := newMachine(logr.Discard(), func(s *fleet.State) { versions = append(versions, s.Version) })
	for version := range uint64(10) {
		command, err := m.basis.Load().revise(&Order{Manifest: *testManifest("m", version+1, "s")}, time.Unix(5, 0))
		c.Assert(err, qt.IsNil)
		raw, err := encodeCommand(command)
		c.Assert(err, qt.IsNil)
		_, err = m.Apply(version+1, 1, raw)
		c.Assert(err, qt.IsNil)
	}
	m.Applied()
	m.Applied()
	c.Check(versions, qt.DeepEquals, []uint64{10})
}

// TestRestartHandsOutTheNewest holds that a source that starts hands out what its log holds
// and not the state of the snapshot before it: daemons would fetch both, and a source of an
// eighth of a processor would take 0.1 s for the first.
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

// TestStaleRevisionIsSentWhole holds that an order made of a manifest that is not the
// newest any more is turned down by the leader before the log, by every source if it is in
// the log already, and accepted whole.
func TestStaleRevisionIsSentWhole(t *testing.T) {
	c := qt.New(t)
	m := builtMachine(t)
	old := m.basis.Load()
	c.Assert(applied(t, m, &Order{Manifest: *testManifest("a", 4, "t")}).Code, qt.Equals, result.Accepted)
	o := &Order{Manifest: *testManifest("a", 5, "u")}
	stale, err := old.revise(o, time.Unix(6, 0).UTC())
	c.Assert(err, qt.IsNil)
	raw, err := encodeCommand(stale)
	c.Assert(err, qt.IsNil)
	c.Check(m.Check(raw).Code, qt.Equals, result.RevisionStale)
	c.Check(appliedCommand(t, m, stale).Code, qt.Equals, result.RevisionStale)
	whole, err := noBasis.revise(o, time.Unix(6, 0).UTC())
	c.Assert(err, qt.IsNil)
	c.Check(appliedCommand(t, m, whole).Code, qt.Equals, result.Accepted)
	c.Check(appliedCommand(t, m, stale).Code, qt.Equals, result.AlreadyAccepted)
}

// TestWrongRevisionStopsNobody holds that a revision whose result is not what it announces
// is turned down by the leader, and that a source which finds it in the log stops with a
// code instead of going on with another state than the others.
func TestWrongRevisionStopsNobody(t *testing.T) {
	c := qt.New(t)
	spoil := map[string]func(*change){
		"sum":   func(ch *change) { ch.Revision.Sum++ },
		"cut":   func(ch *change) { ch.Revision.Changes = ch.Revision.Changes[1:] },
		"mesh":  func(ch *change) { ch.Revision.Changes[0].Key.Mesh = "b" },
		"kind":  func(ch *change) { ch.Revision.Changes[0].Key.Kind = fleet.KindMesh },
		"text":  func(ch *change) { ch.Text.Base++ },
		"short": func(ch *change) { ch.Text.Size++ },
	}
	for name, do := range spoil {
		t.Run(name, func(t *testing.T) {
			m := builtMachine(t)
			version, hash := m.state.Version, m.state.Hash()
			command, err := m.basis.Load().revise(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
			c.Assert(err, qt.IsNil)
			ch, err := decodeChange(command.Change)
			c.Assert(err, qt.IsNil)
			do(ch)
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

// TestTextOfAnotherHashStaysOut holds that the leader turns down a text whose hash is not the
// one announced: every source would take it in and fail at its next snapshot.
func TestTextOfAnotherHashStaysOut(t *testing.T) {
	c := qt.New(t)
	m := builtMachine(t)
	command, err := m.basis.Load().revise(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
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

// TestRevisionsGiveWhatManifestsGive draws orders of two meshes, as revisions of the newest
// or of an older manifest, whole, or as entries of the release before, and holds the state,
// the route index and the texts against those of a machine that was given whole manifests.
func TestRevisionsGiveWhatManifestsGive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newMachine(logr.Discard(), func(*fleet.State) {})
		b := newMachine(logr.Discard(), func(*fleet.State) {})
		bases := []*basis{noBasis}
		for version := range rapid.IntRange(1, 25).Draw(t, "orders") {
			o := drawOrder(t, uint64(version+1))
			how := rapid.SampledFrom(append([]*basis{nil, a.basis.Load(), a.basis.Load(), a.basis.Load()}, bases...)).Draw(t, "basis")
			whole := Command{Manifest: o.Manifest, Submitted: time.Unix(5, 0).UTC(), Text: o.Text}
			command := whole
			if how != nil {
				var err error
				if command, err = how.revise(o, time.Unix(5, 0).UTC()); err != nil {
					t.Fatal(err)
				}
			}
			got := applyDrawn(t, a, command)
			if got.Code == result.RevisionStale {
				if how == noBasis || how == a.basis.Load() {
					t.Fatalf("stale: %+v", got)
				}
				got = applyDrawn(t, a, whole)
			}
			want := applyDrawn(t, b, whole)
			if got.Code != want.Code || got.Fleet != want.Fleet || got.Detail != want.Detail {
				t.Fatalf("answered %+v, want %+v", got, want)
			}
			bases = append(bases, a.basis.Load())
			compareMachines(t, a, b)
		}
	})
}

// drawOrder draws a manifest whose routes may be those of the other mesh.
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

func applyDrawn(t *rapid.T, m *machine, c Command) Answer {
	raw, err := encodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	o, err := m.Apply(1, 1, raw)
	if err != nil {
		t.Fatal(err)
	}
	return o.finish()
}

func compareMachines(t *rapid.T, a, b *machine) {
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
		textA, errA := documentOf(a.texts[mesh]).Bytes()
		textB, errB := documentOf(b.texts[mesh]).Bytes()
		if errA != nil || errB != nil || string(textA) != string(textB) {
			t.Fatalf("texts differ: %q %v, %q %v", textA, errA, textB, errB)
		}
	}
}

// FuzzEntry looks for an entry of the log that a source does not survive, or that changes
// anything without being accepted.
func FuzzEntry(f *testing.F) {
	m := builtMachine(f)
	for _, b := range []*basis{m.basis.Load(), noBasis} {
		command, err := b.revise(&Order{Manifest: *testManifest("a", 5, "u"), Text: fleet.Pack([]byte("text"))}, time.Unix(6, 0))
		if err != nil {
			f.Fatal(err)
		}
		raw, err := encodeCommand(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	raw, err := encodeCommand(wholeCommand(testManifest("a", 5, "u"), "text"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := builtMachine(t)
		version, hash := m.state.Version, m.state.Hash()
		refused := m.Check(raw)
		answer, err := m.Apply(9, 1, raw)
		if refused == nil && err != nil {
			t.Fatalf("the leader lets in what stops a source: %v", err)
		}
		if (err != nil || answer.Code != result.Accepted) && (m.state.Version != version || m.state.Hash() != hash) {
			t.Fatalf("changed by what was not accepted: %+v, %v", answer, err)
		}
		// What the leader turns down never enters the log.
		if _, err := m.Snapshot(); err != nil && refused == nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkEntry applies the entry of one changed route at several sizes.
func BenchmarkEntry(b *testing.B) {
	for _, routes := range []int{400, 4000, 16000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			const entries = 200
			raws := make([][]byte, entries)
			build := newMachine(logr.Discard(), func(*fleet.State) {})
			applied(b, build, largeOrder(1, routes))
			for i := range raws {
				command, err := build.basis.Load().revise(largeOrder(uint64(i+2), routes), time.Unix(5, 0).UTC())
				if err != nil {
					b.Fatal(err)
				}
				if raws[i], err = encodeCommand(command); err != nil {
					b.Fatal(err)
				}
				appliedCommand(b, build, command)
			}
			b.ReportAllocs()
			b.ResetTimer()
			size := 0
			var m *machine
			for i := range b.N {
				if i%entries == 0 {
					b.StopTimer()
					m = newMachine(logr.Discard(), func(*fleet.State) {})
					applied(b, m, largeOrder(1, routes))
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
