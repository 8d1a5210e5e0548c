package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

// report returns a report of a crash now by another daemon.
func report(f quarantine.Fingerprint, source string, crashes uint8) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: f, Crashes: crashes, Until: start.Add(31 * time.Minute), Source: source}
}

// TestReportOutlivesItsSource guards against a crashing request that runs again once the daemon
// that reported it is gone, or publishes the report no more.
func TestReportOutlivesItsSource(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	id := identity("culprit")
	f := id.Fingerprint()
	core.Learn(start, []quarantine.Suspect{report(f, "a", 2)})
	core.Learn(start, nil)
	c.Check(core.Judge(start, &id).Mode, qt.Equals, quarantine.Refused)
	core.Learn(start, []quarantine.Suspect{report(f, "a", 1)})
	c.Check(core.Judge(start, &id).Mode, qt.Equals, quarantine.Refused)
	later := start.Add(32 * time.Minute)
	core.Learn(later, nil)
	c.Check(core.Judge(later, &id).Mode, qt.Equals, quarantine.Free)
	c.Check(core.Empty(), qt.IsTrue)
}

// TestClearedReportIsForgotten guards against a report that becomes active again when the daemon
// that cleared it publishes something else.
func TestClearedReportIsForgotten(t *testing.T) {
	c := qt.New(t)
	core := quarantine.New(quarantine.DefaultConfig())
	id := identity("innocent")
	f := id.Fingerprint()
	core.Learn(start, []quarantine.Suspect{report(f, "a", 2)})
	core.Learn(start, []quarantine.Suspect{report(f, "b", 0)})
	core.Learn(start, nil)
	c.Check(core.Judge(start, &id).Mode, qt.Equals, quarantine.Free)
	core.Learn(start, []quarantine.Suspect{report(f, "b", 1)})
	c.Check(core.Judge(start, &id).Mode, qt.Equals, quarantine.Alone)
}

// TestAbandonedRunCrashesServer guards against a crash that is noticed by nobody because its request
// was abandoned shortly before and nothing else ran.
func TestAbandonedRunCrashesServer(t *testing.T) {
	for after, want := range map[time.Duration]quarantine.Mode{
		900 * time.Millisecond: quarantine.Alone, 1100 * time.Millisecond: quarantine.Free,
	} {
		c := qt.New(t)
		core := quarantine.New(quarantine.DefaultConfig())
		abandoned := core.Begin(start, "s", identity("culprit"), false)
		core.End(start, "s", abandoned, quarantine.Abandoned, true)
		next := core.Begin(start.Add(after), "s", identity("next"), false)
		crashed, _ := core.End(start.Add(after), "s", next, quarantine.ConnectionRefused, true)
		c.Check(crashed, qt.IsFalse)
		c.Check(core.Judge(start.Add(after), new(identity("culprit"))).Mode, qt.Equals, want)
		c.Check(core.Judge(start.Add(after), new(identity("next"))).Mode, qt.Equals, quarantine.Free)
	}
}

// TestRememberedReportsAreLimited checks that the requests with the most crashes are kept.
func TestRememberedReportsAreLimited(t *testing.T) {
	c := qt.New(t)
	cfg := quarantine.DefaultConfig()
	cfg.MaxRemembered = 4
	core := quarantine.New(cfg)
	culprit := fingerprint("culprit")
	core.Learn(start, []quarantine.Suspect{report(culprit, "a", 2)})
	for i := range 10 {
		core.Learn(start, []quarantine.Suspect{report(quarantine.Fingerprint(i), "b", 1)})
	}
	c.Check(core.Known(start), qt.Equals, cfg.MaxRemembered)
	c.Check(core.Judge(start, new(identity("culprit"))).Mode, qt.Equals, quarantine.Refused)
}

// TestCulpritAmongManyRunsIsFound guards against a crashing request that is never suspected because
// more requests than a daemon reports are in progress at each of its crashes, and it is always
// the one that is left out.
func TestCulpritAmongManyRunsIsFound(t *testing.T) {
	c := qt.New(t)
	cfg := quarantine.DefaultConfig()
	core := quarantine.New(cfg)
	culprit := identity("culprit")
	names := namesAbove(culprit.Fingerprint(), cfg.Max+8)
	now := start
	for crashes := 1; core.Judge(now, &culprit).Mode == quarantine.Free; crashes++ {
		c.Assert(crashes <= 10, qt.IsTrue, qt.Commentf("the culprit is not suspected after %d crashes", crashes))
		now = now.Add(10 * time.Second)
		runs := []uint64{core.Begin(now, "s", culprit, false)}
		for _, name := range names {
			runs = append(runs, core.Begin(now, "s", identity(name), false))
		}
		for _, run := range runs {
			core.End(now, "s", run, quarantine.ConnectionLost, false)
		}
	}
}

// namesAbove returns names of requests whose fingerprints are larger than f.
func namesAbove(f quarantine.Fingerprint, n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		if name := fmt.Sprint(i); fingerprint(name) > f {
			names = append(names, name)
		}
	}
	return names
}
