package source

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// applied hands an order to a machine alone, as what it changes there.
func applied(tb testing.TB, m *machine, o *Order) Answer {
	c, err := m.basis.Load().revise(o, time.Unix(5, 678).UTC())
	if err != nil {
		tb.Fatal(err)
	}
	return appliedCommand(tb, m, c)
}

// appliedCommand takes a command through its encoded form.
func appliedCommand(tb testing.TB, m *machine, c Command) Answer {
	raw, err := encodeCommand(c)
	if err != nil {
		tb.Fatal(err)
	}
	o, err := m.Apply(1, 1, raw)
	if err != nil {
		tb.Fatal(err)
	}
	m.Applied()
	return o.finish()
}

// wholeCommand is an order as older releases put it into the log.
func wholeCommand(m *manifest.Manifest, text string) Command {
	return Command{Manifest: *m, Submitted: time.Unix(5, 678).UTC(), Text: fleet.Pack([]byte(text))}
}

// builtMachine has accepted manifests of two meshes, one with its text.
func builtMachine(tb testing.TB) *machine {
	m := newMachine(logr.Discard(), func(*fleet.State) {})
	for i, mesh := range []string{"a", "b", "a"} {
		o := Order{Manifest: *testManifest(mesh, uint64(i+1), "s")}
		if mesh == "a" {
			o.Text = fleet.Pack([]byte(orderText(o.Manifest.Version, 0)))
		}
		if answer := applied(tb, m, &o); answer.Code != result.Accepted {
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
	sameMachine(c, restored, built)
}

// sameMachine holds that two machines answer alike, and hold the same.
func sameMachine(c *qt.C, got, want *machine) {
	c.Helper()
	c.Check(got.history, qt.DeepEquals, want.history)
	c.Check(got.state.Hash(), qt.Equals, want.state.Hash())
	for _, mesh := range []string{"a", "b", "none"} {
		read := Command{Read: mesh}
		c.Check(appliedCommand(c, got, read), qt.DeepEquals, appliedCommand(c, want, read))
	}
	again := testManifest("a", 3, "s")
	c.Check(applied(c, got, &Order{Manifest: *again}).Code, qt.Equals, result.AlreadyAccepted)
}

// TestOldFormatsAreRead holds that a snapshot and entries of the release before are taken
// in, alone and between those of this one, and give the same as these.
func TestOldFormatsAreRead(t *testing.T) {
	c := qt.New(t)
	want := builtMachine(t)
	old := newMachine(logr.Discard(), func(*fleet.State) {})
	for i, mesh := range []string{"a", "b"} {
		text := ""
		if mesh == "a" {
			text = orderText(1, 0)
		}
		command := wholeCommand(testManifest(mesh, uint64(i+1), "s"), text)
		if text == "" {
			command.Text = nil
		}
		c.Assert(appliedCommand(t, old, command).Code, qt.Equals, result.Accepted)
	}
	delta, err := old.state.Snapshot().Encode()
	c.Assert(err, qt.IsNil)
	raw, err := quorum.Encode(machineImage{Delta: delta, History: old.all(), Texts: map[string][]byte{"a": fleet.Pack([]byte(orderText(1, 0)))}})
	c.Assert(err, qt.IsNil)
	restored := newMachine(logr.Discard(), func(*fleet.State) {})
	c.Assert(restored.Restore(raw), qt.IsNil)
	for _, m := range []*machine{old, restored} {
		o := Order{Manifest: *testManifest("a", 3, "s"), Text: fleet.Pack([]byte(orderText(3, 0)))}
		c.Assert(applied(t, m, &o).Code, qt.Equals, result.Accepted)
		sameMachine(c, m, want)
	}
}

// TestNewerFormatsAreRefused holds that an entry or a snapshot of a later release is not
// taken for something else.
func TestNewerFormatsAreRefused(t *testing.T) {
	c := qt.New(t)
	m := builtMachine(t)
	raw, err := encodeCommand(Command{Format: formatNewest + 1})
	c.Assert(err, qt.IsNil)
	var coded *result.Error
	_, err = m.Apply(9, 1, raw)
	c.Assert(err, qt.ErrorAs, &coded)
	c.Check(coded.Code, qt.Equals, result.FormatUnknown)
	raw, err = quorum.Encode(machineImage{Format: imageNewest + 1})
	c.Assert(err, qt.IsNil)
	c.Assert(m.Restore(raw), qt.ErrorAs, &coded)
	c.Check(coded.Code, qt.Equals, result.FormatUnknown)
	sameMachine(c, m, builtMachine(t))
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
