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

// mustApplyOrder applies an order to a state machine, encoded as changes to its state.
func mustApplyOrder(tb testing.TB, m *stateMachine, o *Order) Answer {
	c, err := m.diffBase.Load().diffCommand(o, time.Unix(5, 678).UTC())
	if err != nil {
		tb.Fatal(err)
	}
	return mustApplyCommand(tb, m, c)
}

// mustApplyCommand encodes a command and applies it.
func mustApplyCommand(tb testing.TB, m *stateMachine, c Command) Answer {
	raw, err := encodeCommand(c)
	if err != nil {
		tb.Fatal(err)
	}
	o, err := m.Apply(1, 1, raw)
	if err != nil {
		tb.Fatal(err)
	}
	m.BatchApplied()
	return o.packedAnswer()
}

// fullManifestCommand returns an order in the format of older releases.
func fullManifestCommand(m *manifest.Manifest, text string) Command {
	return Command{Manifest: *m, Submitted: time.Unix(5, 678).UTC(), Text: fleet.Pack([]byte(text))}
}

// newPopulatedMachine returns a state machine with accepted manifests of two meshes, one
// of them with its text.
func newPopulatedMachine(tb testing.TB) *stateMachine {
	m := newStateMachine(logr.Discard(), func(*fleet.State) {})
	for i, mesh := range []string{"a", "b", "a"} {
		o := Order{Manifest: *testManifest(mesh, uint64(i+1), "s")}
		if mesh == "a" {
			o.Text = fleet.Pack([]byte(orderText(o.Manifest.Version, 0)))
		}
		if answer := mustApplyOrder(tb, m, &o); answer.Code != result.Accepted {
			tb.Fatal(answer)
		}
	}
	return m
}

// TestImageTravelsWhole checks that a source restored from a snapshot gives the same answers
// as the source that wrote it.
func TestImageTravelsWhole(t *testing.T) {
	c := qt.New(t)
	built := newPopulatedMachine(t)
	raw, err := built.Snapshot()
	c.Assert(err, qt.IsNil)
	restored := newStateMachine(logr.Discard(), func(*fleet.State) {})
	c.Assert(restored.Restore(raw), qt.IsNil)
	checkSameMachine(c, restored, built)
}

// checkSameMachine checks that two state machines have the same state and give the same
// answers.
func checkSameMachine(c *qt.C, got, want *stateMachine) {
	c.Helper()
	c.Check(got.history, qt.DeepEquals, want.history)
	c.Check(got.state.Hash(), qt.Equals, want.state.Hash())
	for _, mesh := range []string{"a", "b", "none"} {
		read := Command{Read: mesh}
		c.Check(mustApplyCommand(c, got, read), qt.DeepEquals, mustApplyCommand(c, want, read))
	}
	again := testManifest("a", 3, "s")
	c.Check(mustApplyOrder(c, got, &Order{Manifest: *again}).Code, qt.Equals, result.AlreadyAccepted)
}

// TestOldFormatsAreRead checks that snapshots and entries of the previous release are
// accepted, alone or mixed with those of the current release, and give the same state.
func TestOldFormatsAreRead(t *testing.T) {
	c := qt.New(t)
	want := newPopulatedMachine(t)
	old := newStateMachine(logr.Discard(), func(*fleet.State) {})
	for i, mesh := range []string{"a", "b"} {
		text := ""
		if mesh == "a" {
			text = orderText(1, 0)
		}
		command := fullManifestCommand(testManifest(mesh, uint64(i+1), "s"), text)
		if text == "" {
			command.Text = nil
		}
		c.Assert(mustApplyCommand(t, old, command).Code, qt.Equals, result.Accepted)
	}
	delta, err := old.state.Snapshot().Encode()
	c.Assert(err, qt.IsNil)
	raw, err := quorum.Encode(encodedSnapshot{Delta: delta, History: old.allHistory(), Texts: map[string][]byte{"a": fleet.Pack([]byte(orderText(1, 0)))}})
	c.Assert(err, qt.IsNil)
	restored := newStateMachine(logr.Discard(), func(*fleet.State) {})
	c.Assert(restored.Restore(raw), qt.IsNil)
	for _, m := range []*stateMachine{old, restored} {
		o := Order{Manifest: *testManifest("a", 3, "s"), Text: fleet.Pack([]byte(orderText(3, 0)))}
		c.Assert(mustApplyOrder(t, m, &o).Code, qt.Equals, result.Accepted)
		checkSameMachine(c, m, want)
	}
}

// TestNewerFormatsAreRefused checks that an entry or a snapshot in the format of a later
// release is rejected and not misinterpreted.
func TestNewerFormatsAreRefused(t *testing.T) {
	c := qt.New(t)
	m := newPopulatedMachine(t)
	raw, err := encodeCommand(Command{Format: formatNewest + 1})
	c.Assert(err, qt.IsNil)
	var coded *result.Error
	_, err = m.Apply(9, 1, raw)
	c.Assert(err, qt.ErrorAs, &coded)
	c.Check(coded.Code, qt.Equals, result.FormatUnknown)
	raw, err = quorum.Encode(encodedSnapshot{Format: snapshotNewest + 1})
	c.Assert(err, qt.IsNil)
	c.Assert(m.Restore(raw), qt.ErrorAs, &coded)
	c.Check(coded.Code, qt.Equals, result.FormatUnknown)
	checkSameMachine(c, m, newPopulatedMachine(t))
}

// FuzzImage checks that Restore does not panic on arbitrary input, and that it leaves the
// state unchanged if it returns an error.
func FuzzImage(f *testing.F) {
	raw, err := newPopulatedMachine(f).Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := newPopulatedMachine(t)
		version, entries := m.state.Version, len(m.allHistory())
		if m.Restore(raw) != nil {
			if m.state.Version != version || len(m.allHistory()) != entries {
				t.Fatal("a rejected snapshot changed the state")
			}
			return
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
