package directory_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestSuspectUnion checks that the suspects of two daemons are merged, and that a record
// carries at most MaxSuspects, those with the latest Until.
func TestSuspectUnion(t *testing.T) {
	c := qt.New(t)
	snap, err := snapshot.Compile(fleet.Empty())
	c.Assert(err, qt.IsNil)
	a := presence.New(presence.Config{Self: view.Node{Name: "a"}})
	b := presence.New(presence.Config{Self: view.Node{Name: "b"}})
	a.SetSuspects([]presence.Suspect{{Fingerprint: 7, Crashes: 1, Until: 10}})
	b.SetSuspects([]presence.Suspect{{Fingerprint: 7, Crashes: 1, Until: 30}, {Fingerprint: 8, Crashes: 1, Until: 5}})
	d := directory.Build(snap, append(a.Records(), b.Records()...))
	got, found := d.Suspect(7)
	c.Assert(found, qt.IsTrue)
	c.Assert(got, qt.Equals, presence.Suspect{Fingerprint: 7, Crashes: 2, Until: 30})
	_, found = d.Suspect(9)
	c.Assert(found, qt.IsFalse)

	many := make([]presence.Suspect, presence.MaxSuspects+8)
	for i := range many {
		many[i] = presence.Suspect{Fingerprint: uint64(i), Until: int64(i)}
	}
	a.SetSuspects(many)
	c.Assert(a.Records()[0].Suspects, qt.HasLen, presence.MaxSuspects)
	c.Assert(a.Records()[0].Suspects[0].Fingerprint, qt.Equals, uint64(8))
}
