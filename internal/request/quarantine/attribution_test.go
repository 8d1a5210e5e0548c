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
