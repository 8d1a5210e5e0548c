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
