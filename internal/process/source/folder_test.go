package source

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/storage"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestFolderOfOlderReleaseIsRead checks that a source can use the data folder of an older
// release, whose entries and snapshots contain complete manifests. testdata/folder contains
// a log written by that release for 21 versions of two meshes: a snapshot followed by
// entries.
func TestFolderOfOlderReleaseIsRead(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("testdata/folder/log-of-manifests")
	c.Assert(err, qt.IsNil)
	cl := newTestCluster(1, 8)
	cl.olderDisks = true
	m := cl.members["a"]
	m.node, m.dir = nil, newMemDir()
	m.dir.names["log"] = &memFile{dir: m.dir, data: raw, synced: len(raw)}
	_, restored, err := storage.Open(m.dir)
	c.Assert(err, qt.IsNil)
	c.Assert(restored.Snapshot.Index > 0 && len(restored.Entries) > 0, qt.IsTrue)

	c.Assert(cl.start("a"), qt.IsNil)
	cl.run(60)
	c.Assert(m.machine.state.Version, qt.Equals, uint64(21))
	c.Check(m.machine.state.Hash(), qt.Equals, uint64(11914393982699596201))
	c.Check(m.machine.allHistory(), qt.HasLen, 21)
	c.Check(m.machine.newest("a").Time, qt.Equals, time.Unix(120, 678).UTC())
	for mesh, version := range map[string]uint64{"a": 21, "b": 20} {
		text, err := documentOrEmpty(m.machine.texts[mesh]).Bytes()
		c.Assert(err, qt.IsNil)
		c.Check(string(text), qt.Equals, fmt.Sprintf("text of %s version %d", mesh, version))
	}
	for version := range uint64(20) {
		o := &Order{Manifest: *testManifest("a", version+22, fmt.Sprint("s", version%3)), Text: fleet.Pack([]byte("text"))}
		accepted := false
		cl.proposeOrder(m, o, func(a Answer) { accepted = isAccepted(&a) })
		cl.finishWork(m)
		cl.run(2)
		c.Assert(accepted, qt.IsTrue)
	}
	cl.crash("a", 0, false)
	c.Assert(cl.start("a"), qt.IsNil)
	cl.run(60)
	c.Check(m.machine.state.Version, qt.Equals, uint64(41))
	c.Check(cl.violation, qt.Equals, "")
}
