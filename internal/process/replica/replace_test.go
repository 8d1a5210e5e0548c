package replica

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOldKnowledgeTakesNoPlace restarts a voter whose commit index lags on disk, as
// it may, behind the list that brought the voter its place, and an older list that
// lacks it. Neither its own log up to that index nor another member that knows no
// more may take its vote: with two disks lost besides, the group had no majority.
func TestOldKnowledgeTakesNoPlace(t *testing.T) {
	c := qt.New(t)
	members := []string{"a", "b", "c"}
	older := []Voter{{Member: "a", Disk: 1}, {Member: "b", Disk: 2}, {Member: "c", Disk: 3}}
	newer := []Voter{{Member: "b", Disk: 2}, {Member: "c", Disk: 3}, {Member: "d", Disk: 4}}
	entries := []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Voters: older}, {Index: 3, Term: 1}, {Index: 4, Term: 1, Voters: newer}}
	for commit := range uint64(5) {
		core := New(Config{ID: "d", Members: members, ElectionTicks: 10, HeartbeatTicks: 2, ReplaceTicks: 50, Voters: 3}, Restored{
			HardState:  HardState{Term: 1, Commit: commit},
			Membership: Membership{Disk: 4, Voting: true, Voters: newer, VotersAt: 4, Group: groupHash(members)},
			Entries:    entries,
		})
		told := Message{Type: MsgProbeReply, From: "a", To: "d", Hint: 4, Disk: 1, Group: groupHash(members), Commit: 3}
		core.Step(told)
		c.Check(core.Membership().Voting, qt.IsTrue, qt.Commentf("commit %d", commit))
		// One that knows more, and of no place, is believed.
		told.Commit = 5
		core.Step(told)
		c.Check(core.Membership().Voting, qt.IsFalse)
	}
}
