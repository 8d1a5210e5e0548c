package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOldKnowledgeTakesNoPlace guards against a voter that loses its vote because of
// outdated information. The commit index on its disk may lag behind the list that made
// it a voter and behind an older list without it. Neither its own log up to that index
// nor a member that knows no more may revoke its vote: if two other disks were lost as
// well, the group would have no majority.
func TestOldKnowledgeTakesNoPlace(t *testing.T) {
	c := qt.New(t)
	members := []string{"a", "b", "c"}
	older := []Voter{{Member: "a", Disk: 1}, {Member: "b", Disk: 2}, {Member: "c", Disk: 3}}
	newer := []Voter{{Member: "b", Disk: 2}, {Member: "c", Disk: 3}, {Member: "d", Disk: 4}}
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Voters: older}, {Index: 3, Term: 1}, {Index: 4, Term: 1, Voters: newer}}
	for commit := range uint64(5) {
		core := New(Config{ID: "d", Members: members, ElectionTicks: 10, HeartbeatTicks: 2, ReplaceTicks: 50, TargetVoters: 3}, Restored{
			HardState:  HardState{Term: 1, Commit: commit},
			Membership: Membership{Disk: 4, Voting: true, Voters: newer, VotersAt: 4, Group: groupHash(members)},
			Entries:    entries,
		})
		reply := Message{Type: MsgProbeReply, From: "a", To: "d", Hint: 4, Disk: 1, Group: groupHash(members), Commit: 3}
		core.Step(reply)
		c.Check(core.Membership().Voting, qt.IsTrue, qt.Commentf("commit %d", commit))
		// A member that knows more, and does not list this one as a voter, is trusted.
		reply.Commit = 5
		core.Step(reply)
		c.Check(core.Membership().Voting, qt.IsFalse)
	}
}
