package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestFailureRateAfterPause guards against a server that counts as failing after a single failure,
// or long after the last one.
func TestFailureRateAfterPause(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	core := New(Config{Slots: 1})
	core.Ended(now, true)
	c.Check(core.FailureRate(), qt.Equals, failureRateWeight)
	for range 30 {
		core.Ended(now, true)
	}
	c.Check(core.FailureRate() > 0.9, qt.IsTrue)
	core.Ended(now.Add(4*MeasurementDecay), false)
	c.Check(core.FailureRate() < 0.02, qt.IsTrue, qt.Commentf("%f", core.FailureRate()))
	core.Ended(now.Add(8*MeasurementDecay), true)
	c.Check(core.FailureRate() < 2*failureRateWeight, qt.IsTrue, qt.Commentf("%f", core.FailureRate()))
}
