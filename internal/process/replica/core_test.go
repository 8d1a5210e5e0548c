package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCommitOnlyInOwnTerm covers figure 8 of Ongaro and Ousterhout: an entry of an
// earlier term may still be overwritten although a majority has it, so it must be
// committed only together with an entry of the leader's own term.
func TestCommitOnlyInOwnTerm(t *testing.T) {
	c := qt.New(t)
	members := []string{"a", "b", "c", "d", "e"}
	var voters []Voter
	for i, id := range members {
		voters = append(voters, Voter{Member: id, Disk: uint64(i) + 1})
	}
	core := New(Config{ID: "a", Members: members, ElectionTicks: 10, HeartbeatTicks: 2}, Restored{
		HardState:  HardState{Term: 3},
		Membership: Membership{Disk: 1, Voting: true, Voters: voters},
		Entries:    []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	reply := func(kind MessageType, index uint64) {
		for _, v := range voters[1:3] {
			core.Step(Message{
				Type: kind, From: v.Member, To: "a", Term: 4, Index: index,
				Disk: v.Disk, Voting: true, Group: groupHash(members),
			})
		}
		ready := core.Ready()
		core.Advance(ready)
	}
	for core.Role() == Follower {
		core.Tick()
	}
	reply(MsgPreVoteReply, 0)
	reply(MsgVoteReply, 0)
	c.Assert(core.Role(), qt.Equals, Leader)
	reply(MsgAppendReply, 2)
	c.Assert(core.Commit(), qt.Equals, uint64(0))
	reply(MsgAppendReply, 3)
	c.Assert(core.Commit(), qt.Equals, uint64(3))
}

// TestLateSnapshotKeepsTheLog guards against the loss of acknowledged entries on a
// follower that receives a snapshot after it acknowledged the entries that follow it.
// They may be committed and must be kept.
func TestLateSnapshotKeepsTheLog(t *testing.T) {
	c := qt.New(t)
	members := []string{"a", "b", "c"}
	voters := []Voter{{Member: "a", Disk: 1}, {Member: "b", Disk: 2}, {Member: "c", Disk: 3}}
	core := New(Config{ID: "a", Members: members, ElectionTicks: 10, HeartbeatTicks: 2}, Restored{
		HardState:  HardState{Term: 1, Commit: 1},
		Membership: Membership{Disk: 1, Voting: true, Voters: voters},
		Entries:    []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 1}},
	})
	receive := func(m Message) {
		m.From, m.To, m.Term, m.Disk, m.Voting, m.Group = "b", "a", 1, 2, true, groupHash(members)
		core.Step(m)
		core.Advance(core.Ready())
	}
	receive(Message{Type: MsgSnapshot, Snapshot: &Snapshot{Index: 2, Term: 1, Voters: voters}})
	c.Check(core.Last(), qt.Equals, uint64(3))
	c.Check(core.Commit(), qt.Equals, uint64(2))
	// A snapshot with another term at that index replaces the whole log.
	receive(Message{Type: MsgSnapshot, Snapshot: &Snapshot{Index: 3, Term: 2, Voters: voters}})
	c.Check(core.Last(), qt.Equals, uint64(3))
	c.Check(core.SnapshotIndex(), qt.Equals, uint64(3))
}
