package source

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/replica"
)

// probeRepliesTo selects the probe replies to one member, for bootstrapDropping. That member
// then gets its vote from the log.
func probeRepliesTo(id string) func(replica.Message) bool {
	return func(m replica.Message) bool { return m.To == id && m.Type == replica.MsgProbeReply }
}

// bootstrapDropping runs the cluster until it has a leader, and drops the messages selected
// by drop.
func (c *testCluster) bootstrapDropping(drop func(replica.Message) bool) {
	for c.leader() == nil {
		c.forEachRunning(func(m *testMember) { c.tick(m, 1) })
		for len(c.net) > 0 {
			if drop(c.net[0]) {
				c.net = c.net[1:]
				continue
			}
			c.deliver(0, false)
		}
	}
}

// newLateVoteCluster returns a cluster of three bootstrapping members in which c gets its
// vote from the log.
func newLateVoteCluster() *testCluster {
	cl := newTestCluster(3, fuzzCompactAfter)
	cl.allowJoins(replaceAfter)
	cl.bootstrapDropping(probeRepliesTo("c"))
	cl.run(60)
	return cl
}

// newReplacedCluster returns the same cluster after the permanent loss of b, which n has
// replaced, and with one accepted manifest.
func newReplacedCluster(c *qt.C) *testCluster {
	cl := newLateVoteCluster()
	c.Assert(cl.members["c"].node.Status().Repair.State, qt.Equals, replica.RepairDone)
	cl.remove("b")
	cl.addMember("n")
	cl.run(200)
	c.Assert(cl.isVoting("n"), qt.IsTrue)
	c.Assert(cl.acceptsVersion(1), qt.IsTrue)
	return cl
}

// stopAll stops all members at the same time.
func (c *testCluster) stopAll() {
	for _, id := range c.ids {
		c.crash(id, 0, false)
	}
	c.net = nil
}

// checkRestart starts all members, configured with the current members, and checks that the
// group still has its manifest, accepts another one, and gives the member id a vote.
func (c *testCluster) checkRestart(t *qt.C, id string) {
	for _, id := range c.ids {
		t.Assert(c.start(id), qt.IsNil)
	}
	c.run(400)
	t.Assert(c.leader(), qt.IsNotNil)
	t.Check(c.leader().machine.state.Version, qt.Equals, uint64(1))
	t.Check(c.acceptsVersion(2), qt.IsTrue)
	t.Check(c.isVoting(id), qt.IsTrue)
	t.Check(c.violation, qt.Equals, "")
}

// TestVoterFromLogLeavesItsGroupWhenSeedsChange guards against a member that got its vote
// from the log, does not store its group, and drops all messages once the settings name
// other members.
func TestVoterFromLogLeavesItsGroupWhenSeedsChange(t *testing.T) {
	for _, lost := range []string{"a", "n"} {
		t.Run("lost "+lost, func(t *testing.T) {
			c := qt.New(t)
			cl := newReplacedCluster(c)
			cl.stopAll()
			cl.loseDisk(lost)
			cl.checkRestart(c, lost)
		})
	}
}

// TestFounderLeavesItsGroupWhenSeedsChangeBeforeItsVote guards against a member that stops
// after the others have counted it as a voter, before it has a vote itself, and that
// cannot join them when its settings then name other members.
func TestFounderLeavesItsGroupWhenSeedsChangeBeforeItsVote(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(3, fuzzCompactAfter)
	cl.allowJoins(replaceAfter)
	cl.bootstrapDropping(func(m replica.Message) bool { return m.To == "c" && m.Type != replica.MsgProbe })
	c.Assert(cl.isVoting("c"), qt.IsFalse)
	cl.crash("c", 0, false)
	cl.addMember("n")
	cl.seeds["c"], cl.fixedSeeds = []string{"a", "n", "c"}, true
	c.Assert(cl.start("c"), qt.IsNil)
	cl.run(200)
	c.Check(cl.isVoting("c"), qt.IsTrue)
	cl.isolate("b", true)
	cl.run(60)
	c.Check(cl.acceptsVersion(1), qt.IsTrue)
	c.Check(cl.violation, qt.Equals, "")
}

// TestFixedMembersSplitWhenSettingsChange guards against members of a group without
// replacement that restart one by one with other settings and stop hearing those that have
// not restarted yet.
func TestFixedMembersSplitWhenSettingsChange(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(3, fuzzCompactAfter)
	cl.run(60)
	c.Assert(cl.acceptsVersion(1), qt.IsTrue)
	cl.crash("a", 0, false)
	cl.seeds, cl.fixedSeeds = map[string][]string{"a": {"a", "b", "c", "d", "e"}}, true
	c.Assert(cl.start("a"), qt.IsNil)
	cl.crash("b", 0, false)
	cl.run(100)
	c.Assert(cl.leader(), qt.IsNotNil)
	c.Check(cl.acceptsVersion(2), qt.IsTrue)
	c.Check(cl.violation, qt.Equals, "")
}

// TestEmptiedFounderIsNotAnsweredWhenSettingsChange guards against a member that lost its
// disk and may bootstrap a group according to its settings: if these name other members than
// at the first start, the group that knows it must still answer its probes.
func TestEmptiedFounderIsNotAnsweredWhenSettingsChange(t *testing.T) {
	clusters := map[string]func() *testCluster{
		"fixed": func() *testCluster { return newTestCluster(3, fuzzCompactAfter) },
		"replaceable": func() *testCluster {
			cl := newTestCluster(3, fuzzCompactAfter)
			cl.allowJoins(replaceAfter)
			return cl
		},
	}
	for name, start := range clusters {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cl := start()
			cl.run(60)
			c.Assert(cl.acceptsVersion(1), qt.IsTrue)
			cl.loseDisk("a")
			cl.members["a"].diskReplaced = false // the settings still allow it to bootstrap
			cl.seeds, cl.fixedSeeds = map[string][]string{"a": {"a", "b", "d"}}, true
			c.Assert(cl.start("a"), qt.IsNil)
			cl.run(100)
			c.Check(cl.isVoting("a"), qt.IsTrue)
			c.Check(cl.members["a"].machine.state.Version, qt.Equals, uint64(1))
			c.Check(cl.violation, qt.Equals, "")
		})
	}
}
