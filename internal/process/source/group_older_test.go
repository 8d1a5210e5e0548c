package source

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/storage"
)

// rewriteGroup rewrites the disk of a stopped member as older releases wrote it, with the
// given group in place of its own.
func (c *testCluster) rewriteGroup(id string, group uint64) error {
	log, restored, err := storage.Open(c.members[id].dir)
	if err != nil {
		return err
	}
	restored.Membership.Group = group
	return log.Rewrite(restored)
}

// TestVoterWithoutStoredGroupStaysOut guards against a disk written by a release that did
// not store the group with every vote: its member must find its group again although the
// settings name other members than at the first start.
func TestVoterWithoutStoredGroupStaysOut(t *testing.T) {
	for _, lost := range []string{"a", "n"} {
		t.Run("lost "+lost, func(t *testing.T) {
			c := qt.New(t)
			cl := newLateVoteCluster()
			cl.olderDisks = true
			cl.replaceMember("b", "n")
			c.Assert(cl.acceptsVersion(1), qt.IsTrue)
			for _, id := range cl.ids {
				cl.crash(id, 0, false)
			}
			c.Assert(cl.rewriteGroup("c", 0), qt.IsNil)
			cl.restartWithoutDisk(c, lost)
			c.Assert(cl.leader(), qt.IsNotNil)
			c.Check(cl.acceptsVersion(2), qt.IsTrue)
			c.Check(cl.isVoting(lost), qt.IsTrue)
			c.Check(cl.violation, qt.Equals, "")
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
		c.Assert(cl.rewriteGroup(id, 0), qt.IsNil)
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
	cl := newLateVoteCluster()
	cl.olderDisks = true
	cl.replaceMember("b", "n")
	c.Assert(cl.acceptsVersion(1), qt.IsTrue)
	for _, id := range cl.ids {
		cl.crash(id, 0, false)
	}
	cl.loseDisk("a")
	log, restored, err := storage.Open(cl.members["a"].dir)
	c.Assert(err, qt.IsNil)
	restored.Membership.Learning, restored.Membership.Group = true, 1
	c.Assert(log.Rewrite(restored), qt.IsNil)
	c.Assert(cl.rewriteGroup("c", 0), qt.IsNil)
	for _, id := range cl.ids {
		c.Assert(cl.start(id), qt.IsNil)
	}
	cl.run(200)
	c.Check(cl.isVoting("a"), qt.IsTrue)
	c.Check(cl.members["a"].machine.state.Version, qt.Equals, uint64(1))
	c.Check(cl.violation, qt.Equals, "")
}
