package source

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// builtMachine has accepted manifests of two meshes, one with its text.
func builtMachine(tb testing.TB) *machine {
	m := newMachine(logr.Discard(), func(*fleet.State) {})
	for i, mesh := range []string{"a", "b", "a"} {
		c := Command{Manifest: *testManifest(mesh, uint64(i+1), "s"), Submitted: time.Unix(5, 678).UTC()}
		if mesh == "a" {
			c.Text = []byte(orderText(c.Manifest.Version, 0))
		}
		if answer := m.apply(&c); answer.Code != result.Accepted {
			tb.Fatal(answer)
		}
	}
	return m
}

// TestImageTravelsWhole holds that a source that starts from a snapshot answers as the one
// that wrote it.
func TestImageTravelsWhole(t *testing.T) {
	c := qt.New(t)
	built := builtMachine(t)
	raw, err := built.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := newMachine(logr.Discard(), func(*fleet.State) {})
	c.Assert(restored.Restore(raw), qt.IsNil)
	c.Check(restored.history, qt.DeepEquals, built.history)
	for _, mesh := range []string{"a", "b", "none"} {
		read, err := encodeCommand(Command{Read: mesh})
		c.Assert(err, qt.IsNil)
		want, got := built.Apply(9, 1, read), restored.Apply(9, 1, read)
		c.Check(got, qt.DeepEquals, want)
	}
	again := testManifest("a", 3, "s")
	c.Check(restored.apply(&Command{Manifest: *again}).Code, qt.Equals, result.AlreadyAccepted)
}

// FuzzImage looks for a snapshot that a source does not survive. One that is refused
// leaves what was there.
func FuzzImage(f *testing.F) {
	raw, err := builtMachine(f).Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := builtMachine(t)
		version, lines := m.state.Version, len(m.all())
		if m.Restore(raw) != nil {
			if m.state.Version != version || len(m.all()) != lines {
				t.Fatal("a refused snapshot changed the state")
			}
			return
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
