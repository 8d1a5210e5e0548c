package presence_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

// deliver exchanges the messages in actions between the cores until there are none
// left.
func deliver(now time.Time, cores map[string]*presence.Core, from string, actions []presence.Action) {
	for _, a := range actions {
		if a.Send != nil {
			to := a.Send.To
			deliver(now, cores, to, cores[to].Receive(now, from, a.Send.Message))
		}
	}
}

// TestRestartForgetsSuspects guards against the loss of suspects in a restart. If the
// daemon that saw the crashes forgot them, the requests that crash servers would run
// again like any other.
func TestRestartForgetsSuspects(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	start := func(name string, incarnation uint64) *presence.Core {
		return presence.New(presence.Config{Self: view.Node{Name: name}, Incarnation: incarnation, DigestInterval: time.Second, SuspectFor: time.Second, ForgetAfter: time.Hour, ProbeInterval: time.Hour, Seed: incarnation})
	}
	cores := map[string]*presence.Core{"a": start("a", 1), "b": start("b", 1)}
	link := func() {
		deliver(now, cores, "a", cores["a"].LinkUp(now, "b", true))
		deliver(now, cores, "b", cores["b"].LinkUp(now, "a", true))
	}
	suspectsSeen := func(core, owner string) []presence.Suspect {
		for _, r := range cores[core].Records() {
			if r.Node.Name == owner {
				return r.Suspects
			}
		}
		return nil
	}
	link()
	crashed := []presence.Suspect{{Fingerprint: 7, Crashes: 2, Until: 5_000_000}, {Fingerprint: 8, Crashes: 1, Until: 4_000_000}}
	deliver(now, cores, "a", cores["a"].SetSuspects(crashed))
	c.Assert(suspectsSeen("b", "a"), qt.DeepEquals, crashed)

	cores["a"] = start("a", 2)
	deliver(now, cores, "b", cores["b"].LinkDown(now, "a", true))
	link()
	c.Check(suspectsSeen("a", "a"), qt.DeepEquals, crashed)
	c.Check(suspectsSeen("b", "a"), qt.DeepEquals, crashed)

	// A suspect that the new process reports replaces the inherited one for the same
	// request.
	deliver(now, cores, "a", cores["a"].SetSuspects([]presence.Suspect{{Fingerprint: 7, Until: 5_000_000}, {Fingerprint: 9, Crashes: 1, Until: 4_000_000}}))
	want := []presence.Suspect{{Fingerprint: 7, Until: 5_000_000}, {Fingerprint: 8, Crashes: 1, Until: 4_000_000}, {Fingerprint: 9, Crashes: 1, Until: 4_000_000}}
	c.Check(suspectsSeen("b", "a"), qt.DeepEquals, want)
}

// TestRestartLearnsNewestSuspects guards against a restarted daemon that publishes what one neighbour
// knew of its previous process, although another one knows a later record with a further crash.
func TestRestartLearnsNewestSuspects(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	self := view.Node{Name: "a"}
	previous := func(seq uint64, crashes uint8) presence.Record {
		return presence.Record{Node: self, Incarnation: 1, Seq: seq, Suspects: []presence.Suspect{{Fingerprint: 7, Crashes: crashes, Until: int64(crashes) * 1_000_000}}}
	}
	older, newer := previous(3, 1), previous(4, 2)
	for _, order := range [][]presence.Record{{older, newer}, {newer, older}} {
		core := presence.New(presence.Config{Self: self, Incarnation: 2})
		for _, r := range order {
			core.Receive(now, "b", presence.Message{Type: presence.MsgRecords, Records: []presence.Record{r}})
		}
		c.Check(core.Records()[0].Suspects, qt.DeepEquals, newer.Suspects)
	}
}

// TestInheritedCulpritIsKept guards against a request that crashed several servers and is forgotten
// because the daemon that reported it restarted and has seen another crash since.
func TestInheritedCulpritIsKept(t *testing.T) {
	c := qt.New(t)
	self := view.Node{Name: "a"}
	culprit := presence.Suspect{Fingerprint: 7, Crashes: 2, Until: 1_000_000}
	core := presence.New(presence.Config{Self: self, Incarnation: 2})
	previous := presence.Record{Node: self, Incarnation: 1, Seq: 1, Suspects: []presence.Suspect{culprit}}
	core.Receive(time.Unix(1000, 0), "b", presence.Message{Type: presence.MsgRecords, Records: []presence.Record{previous}})
	var fresh []presence.Suspect
	for i := range presence.MaxSuspects {
		fresh = append(fresh, presence.Suspect{Fingerprint: uint64(100 + i), Crashes: 1, Until: 2_000_000})
	}
	core.SetSuspects(fresh)
	got := core.Records()[0].Suspects
	c.Check(got, qt.HasLen, presence.MaxSuspects)
	c.Check(slices.Contains(got, culprit), qt.IsTrue)
}
