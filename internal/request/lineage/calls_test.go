package lineage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPendingCalls checks that the calls of repeated runs are expected from their start until
// they are made, and no longer than the runs last.
func TestPendingCalls(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var calls Calls
	calls.Begin(now, 1)
	c.Check(calls.Pending(now, "s", 1), qt.Equals, 0.0, qt.Commentf("nothing is known of the calls of a run yet"))
	calls.Called(now, "s", 1)
	calls.Called(now, "s", 1)
	c.Check(calls.Pending(now, "s", 1), qt.Equals, 0.0)
	calls.End(now, 1)

	for range 3 {
		calls.Begin(now, 1)
	}
	c.Check(calls.Pending(now, "s", 3), qt.Equals, 6.0)
	calls.Called(now, "s", 1)
	c.Check(calls.Pending(now, "s", 3), qt.Equals, 5.0)
	calls.End(now, 1)
	c.Check(calls.Pending(now, "s", 2) <= 4, qt.IsTrue)
	c.Check(calls.Pending(now, "s", 0), qt.Equals, 0.0, qt.Commentf("all runs have ended"))
	c.Check(calls.Pending(now, "other", 3), qt.Equals, 0.0)
	calls.Begin(now, 0)
	c.Check(calls.Pending(now, "s", 1), qt.Equals, 0.0, qt.Commentf("a first run makes no repeated calls"))
}
