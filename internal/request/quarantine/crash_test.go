package quarantine_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

// TestLateRunIsNotBlamed covers a process that ends and closes its connections one by one:
// a suspect that ran alone on one of the last connections did not cause the crash.
func TestLateRunIsNotBlamed(t *testing.T) {
	for name, innocentEndsFirst := range map[string]bool{"culprit ends first": false, "innocent ends first": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			core := quarantine.New(quarantine.DefaultConfig())
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			// A first crash makes both requests suspects.
			a, b := core.Begin(at(0), "s1", identity("culprit"), false), core.Begin(at(0), "s1", identity("innocent"), false)
			core.RecordConnectionLoss(at(10), "s1", a)
			core.End(at(60), "s1", a, quarantine.ConnectionLost, false)
			core.RecordConnectionLoss(at(10), "s1", b)
			core.End(at(60), "s1", b, quarantine.ConnectionLost, false)
			// The crashing request runs alone; the harmless one starts on a connection that is still open.
			culprit := core.Begin(at(100), "s2", identity("culprit"), true)
			core.RecordConnectionLoss(at(110), "s2", culprit)
			innocent := core.Begin(at(111), "s2", identity("innocent"), true)
			core.RecordConnectionLoss(at(112), "s2", innocent)
			order := []uint64{culprit, innocent}
			if innocentEndsFirst {
				order = []uint64{innocent, culprit}
			}
			for _, run := range order {
				blamed, _ := core.End(at(160), "s2", run, quarantine.ConnectionLost, false)
				c.Check(blamed, qt.Equals, run == culprit)
			}
			c.Check(core.Judge(at(200), new(identity("culprit"))).Mode, qt.Equals, quarantine.Refused)
			c.Check(core.Judge(at(200), new(identity("innocent"))).Mode, qt.Equals, quarantine.Alone)
		})
	}
}

// TestResetsAreNoCrash closes several connections of a server that keeps listening. If
// restarts are slow, this must not count as a crash.
func TestResetsAreNoCrash(t *testing.T) {
	for slow, want := range map[bool]quarantine.Mode{false: quarantine.Alone, true: quarantine.Free} {
		c := qt.New(t)
		cfg := quarantine.DefaultConfig()
		cfg.SlowRestart = slow
		core := quarantine.New(cfg)
		a, b := core.Begin(start, "s", identity("a"), false), core.Begin(start, "s", identity("b"), false)
		core.RecordConnectionLoss(start, "s", a)
		core.RecordConnectionLoss(start, "s", b)
		for _, run := range []uint64{a, b} {
			core.End(start, "s", run, quarantine.ConnectionLost, true)
		}
		c.Check(core.Judge(start, new(identity("a"))).Mode, qt.Equals, want, qt.Commentf("slow restart %t", slow))
		lost := core.Begin(start, "s", identity("c"), false)
		core.RecordConnectionLoss(start, "s", lost)
		core.End(start, "s", lost, quarantine.ConnectionLost, false)
		c.Check(core.Judge(start, new(identity("c"))).Mode, qt.Equals, quarantine.Alone)
	}
}
