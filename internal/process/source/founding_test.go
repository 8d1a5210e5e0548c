package source

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/replica"
)

// TestFoundingWithoutAnAnswer forms a group of three while all probe replies to one member
// are lost. The other two form the group, and the third becomes a voter as a joining member
// does. Its status then reports a completed repair although its disk was never lost.
func TestFoundingWithoutAnAnswer(t *testing.T) {
	c := qt.New(t)
	cluster := newTestCluster(3, 0)
	cluster.bootstrapDropping(probeRepliesTo("c"))
	c.Assert(cluster.leader().id, qt.Not(qt.Equals), "c")
	cluster.run(200)
	c.Check(cluster.members["c"].node.Status().Repair.State, qt.Equals, replica.RepairDone)
	c.Check(cluster.violation, qt.Equals, "")
}

// TestFixedFoundersWaitForEachOtherAfterInterruptedStart guards against members of a group
// without replacement that are restarted before the group is bootstrapped, with settings that no
// longer allow it, and that then wait for a group that nobody bootstraps.
func TestFixedFoundersWaitForEachOtherAfterInterruptedStart(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(3, fuzzCompactAfter)
	cl.run(1)
	c.Assert(cl.isVoting("a"), qt.IsFalse)
	cl.founders = cl.ids
	for _, id := range cl.ids {
		cl.crash(id, 0, false)
		cl.members[id].diskReplaced = true // the settings do not allow it to bootstrap
		c.Assert(cl.start(id), qt.IsNil)
	}
	cl.run(100)
	c.Assert(cl.leader(), qt.IsNotNil)
	c.Check(cl.acceptsVersion(1), qt.IsTrue)
	c.Check(cl.violation, qt.Equals, "")
}
