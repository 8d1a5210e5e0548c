package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

// TestCrashNamesItsRequests guards against a crash whose cause nobody can find: an event names the
// request that ran alone, also if a refused connection is what reveals the crash.
func TestCrashNamesItsRequests(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	culprit := core.Begin(start, "s", identity("culprit"), true)
	abandoned := core.Begin(start, "s", identity("abandoned"), false)
	core.End(start, "s", abandoned, quarantine.Abandoned, true)
	refused := core.Begin(start, "s", identity("refused"), false)
	core.End(start, "s", refused, quarantine.ConnectionRefused, true)
	crashed, _ := core.End(start, "s", culprit, quarantine.ConnectionLost, false)
	c.Check(crashed, qt.IsTrue)
	crashes := map[string]uint8{}
	for _, e := range core.TakeEvents() {
		c.Check(e.Kind, qt.Equals, quarantine.Crashed)
		c.Check(e.Server, qt.Equals, "s")
		for _, r := range e.Requests {
			crashes[r.Path] = r.Crashes
			c.Check(r.Alone, qt.Equals, r.Path == "/culprit")
		}
	}
	c.Check(crashes, qt.DeepEquals, map[string]uint8{"/culprit": 2, "/abandoned": 1})
	c.Check(core.TakeEvents(), qt.HasLen, 0)
}

// TestClearedAndEvictedReportsAreEvents checks the events of reports that no longer count.
func TestClearedAndEvictedReportsAreEvents(t *testing.T) {
	c := qt.New(t)
	cfg := quarantine.DefaultConfig()
	cfg.Max = 1
	core := quarantine.New(cfg)
	run := core.Begin(start, "s", identity("a"), false)
	core.End(start, "s", run, quarantine.ConnectionLost, false)
	run = core.Begin(start, "s", identity("a"), true)
	core.End(start, "s", run, quarantine.Completed, true)
	id := identity("b")
	core.ReportRemoteCrash(start.Add(time.Second), &id, "elsewhere", false)
	var kinds []quarantine.EventKind
	for _, e := range core.TakeEvents() {
		kinds = append(kinds, e.Kind)
	}
	c.Check(kinds, qt.DeepEquals, []quarantine.EventKind{quarantine.Crashed, quarantine.Cleared, quarantine.Evicted, quarantine.CrashedElsewhere})
}
