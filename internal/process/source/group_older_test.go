package source

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/storage"
)

// rewriteMembership changes what the disk of a stopped member says about its group.
func (c *testCluster) rewriteMembership(id string, change func(*replica.Membership)) error {
	log, restored, err := storage.Open(c.members[id].dir)
	if err != nil {
		return err
	}
	change(&restored.Membership)
	return log.Rewrite(restored)
}

// withoutGroup is a change for rewriteMembership: older releases stored no group with some
// votes.
func withoutGroup(m *replica.Membership) { m.Group = 0 }

// TestVoterWithoutStoredGroupStaysOut guards against a disk written by a release that did
// not store the group with every vote: its member must find its group again although the
// settings name other members than at the first start.
func TestVoterWithoutStoredGroupStaysOut(t *testing.T) {
	for _, lost := range []string{"a", "n"} {
		t.Run("lost "+lost, func(t *testing.T) {
			c := qt.New(t)
			cl := newReplacedCluster(c)
			cl.stopAll()
			cl.olderDisks = true
			c.Assert(cl.rewriteMembership("c", withoutGroup), qt.IsNil)
			cl.loseDisk(lost)
			cl.checkRestart(c, lost)
		})
	}
}

// TestFixedMembersWithoutStoredGroupSplitWhenSettingsChange guards against the same disks in
// a group without replacement, whose members restart one by one with other settings.
func TestFixedMembersWithoutStoredGroupSplitWhenSettingsChange(t *testing.T) {
	c := qt.New(t)
	cl := newTestCluster(3, fuzzCompactAfter)
	cl.olderDisks = true
	cl.run(60)
	c.Assert(cl.acceptsVersion(1), qt.IsTrue)
	cl.seeds, cl.fixedSeeds = map[string][]string{"a": {"a", "b", "c", "d", "e"}}, true
	for _, id := range cl.ids {
		cl.crash(id, 0, false)
		c.Assert(cl.rewriteMembership(id, withoutGroup), qt.IsNil)
		c.Assert(cl.start(id), qt.IsNil)
	}
	cl.crash("b", 0, false)
	cl.run(100)
	c.Assert(cl.leader(), qt.IsNotNil)
	c.Check(cl.acceptsVersion(2), qt.IsTrue)
	c.Check(cl.violation, qt.Equals, "")
}

// TestEmptiedMemberKeepsWrongGroup guards against a member with an empty disk that was told
// a wrong group by a member of an older release, stored it before any leader reached it, and
// is not heard by its group any more.
func TestEmptiedMemberKeepsWrongGroup(t *testing.T) {
	c := qt.New(t)
	cl := newReplacedCluster(c)
	cl.stopAll()
	cl.olderDisks = true
	c.Assert(cl.rewriteMembership("c", withoutGroup), qt.IsNil)
	cl.loseDisk("a")
	c.Assert(cl.rewriteMembership("a", func(m *replica.Membership) { m.Learning, m.Group = true, 1 }), qt.IsNil)
	cl.checkRestart(c, "a")
}
