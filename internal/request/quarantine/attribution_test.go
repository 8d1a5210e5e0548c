package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestResetBeforeACrashHidesItsCause guards against a crash that is attributed to other requests
// because the one that caused it began after an unrelated connection was reset.
func TestResetBeforeACrashHidesItsCause(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	reset := core.Begin(at(0), "s", identity("reset"), false)
	core.RecordConnectionLoss(at(10), "s", reset)
	culprit := core.Begin(at(11), "s", identity("culprit"), false)
	core.RecordConnectionLoss(at(55), "s", culprit)
	// The check after the reset takes until the server has crashed.
	core.End(at(60), "s", reset, quarantine.ConnectionLost, false)
	crashed, _ := core.End(at(61), "s", culprit, quarantine.ConnectionLost, false)
	c.Check(crashed, qt.IsTrue)
	c.Check(core.Judge(at(100), new(identity("culprit"))).Mode, qt.Equals, quarantine.Alone)
}

// TestRefusedConnectionBlamesOthers guards against requests that become suspects because another one's
// connection was refused: a refusal only shows that the requests abandoned before may have crashed
// the server.
func TestRefusedConnectionBlamesOthers(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	abandoned := core.Begin(at(0), "s", identity("abandoned"), false)
	core.End(at(10), "s", abandoned, quarantine.Abandoned, true)
	refused := core.Begin(at(20), "s", identity("refused"), false)
	other := core.Begin(at(20), "s", identity("other"), false)
	core.End(at(21), "s", refused, quarantine.ConnectionRefused, true)
	core.End(at(21), "s", other, quarantine.ConnectionRefused, true)
	mode := func(name string) quarantine.Mode { return core.Judge(at(100), new(identity(name))).Mode }
	c.Check(mode("abandoned"), qt.Equals, quarantine.Alone)
	c.Check(mode("other"), qt.Equals, quarantine.Free)
}

// TestTimedOutRunHidesTheCauseOfACrash guards against a crash that is attributed to other requests
// because the server had answered the one that caused it with a timeout.
func TestTimedOutRunHidesTheCauseOfACrash(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	crash := func(begin int, isolated bool) {
		culprit := core.Begin(at(begin), "s", identity("culprit"), isolated)
		core.End(at(begin+20), "s", culprit, quarantine.TimedOut, true)
		other := core.Begin(at(begin+21), "s", identity("other"), false)
		core.RecordConnectionLoss(at(begin+60), "s", other)
		core.End(at(begin+61), "s", other, quarantine.ConnectionLost, false)
	}
	crash(0, false)
	c.Check(core.Judge(at(100), new(identity("culprit"))).Mode, qt.Equals, quarantine.Alone)
	crash(5000, true)
	c.Check(core.Judge(at(5100), new(identity("culprit"))).Mode, qt.Equals, quarantine.Refused)
	c.Check(core.Judge(at(5100), new(identity("other"))).Mode, qt.Equals, quarantine.Alone)
}

// TestCrashUnderTwoIsolatedRunsProvesNothing guards against a harmless request that is refused because
// it ran in isolation when a server crashed under one that had been abandoned there.
func TestCrashUnderTwoIsolatedRunsProvesNothing(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	abandoned := core.Begin(at(0), "s", identity("culprit"), true)
	core.End(at(20), "s", abandoned, quarantine.Abandoned, true)
	innocent := core.Begin(at(21), "s", identity("innocent"), true)
	core.RecordConnectionLoss(at(60), "s", innocent)
	core.End(at(61), "s", innocent, quarantine.ConnectionLost, false)
	for _, name := range []string{"culprit", "innocent"} {
		c.Check(core.Judge(at(100), new(identity(name))).Mode, qt.Equals, quarantine.Alone, qt.Commentf("%s", name))
	}
}

// TestClearedRequestIsRefusedAtItsNextCrash guards against a harmless request that is refused because the
// server of its last run in isolation was killed: it had ended well elsewhere while it waited for that run.
func TestClearedRequestIsRefusedAtItsNextCrash(t *testing.T) {
	c := qt.New(t)
	server, origin := quarantine.New(quarantine.DefaultConfig()), quarantine.New(quarantine.DefaultConfig())
	id := identity("innocent")
	f := id.Fingerprint()
	server.Learn(at(0), []quarantine.Suspect{report(f, "a", 1)})
	ended := server.Begin(at(10), "s", id, false)
	server.End(at(20), "s", ended, quarantine.Completed, true)
	isolated := server.Begin(at(21), "s", id, true)
	server.End(at(30), "s", isolated, quarantine.ConnectionLost, false)
	c.Check(server.Judge(at(40), &id).Mode, qt.Equals, quarantine.Alone)
	// The daemon where the request began learns of the same crash twice.
	reports := server.Reports()
	reports[0].Source = "server"
	origin.Learn(at(40), reports)
	c.Check(origin.ReportRemoteCrash(at(41), &id, "server", true), qt.IsFalse)
	c.Check(origin.Judge(at(42), &id).Mode, qt.Equals, quarantine.Alone)
}

// TestCrashesOfOneContentExcuseIt guards against a request that is excused, and crashes one server more,
// because copies of it from an instance with an unknown service crashed others at the same time.
func TestCrashesOfOneContentExcuseIt(t *testing.T) {
	c := qt.New(t)
	f := newFleet()
	f.now = at(0)
	known, unknown := identity("culprit"), identity("culprit")
	known.Origin = "service"
	crash := func(daemon string, id quarantine.Identity, alone bool) {
		run := f.cores[daemon].Begin(f.now, daemon, id, alone)
		f.cores[daemon].End(f.now, daemon, run, quarantine.ConnectionLost, false)
		f.spread()
	}
	crash("a", known, false)
	c.Check(f.cores["b"].Judge(f.now, &unknown).Mode, qt.Equals, quarantine.Alone)
	crash("b", unknown, true)
	// It may be the request that is proven.
	c.Check(f.cores["c"].Judge(f.now, &known).Mode, qt.Equals, quarantine.Refused)
	// A copy that was under way.
	crash("c", known, true)
	c.Check(f.cores["a"].Judge(f.now, &known).Mode, qt.Equals, quarantine.Refused)
}
