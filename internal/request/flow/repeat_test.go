package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/result"
)

// TestDeniedRepeatGoesElsewhere checks that a repeat denied at one daemon is sent to another
// server without a second charge to the budget, and that the caller's final answer is the
// code of the attempt that may have run.
func TestDeniedRepeatGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := NewService(balance.Location{Node: "n0", Domain: "d0", Region: "r0"}, nil)
	s.Table.Update(candidatesOf("a@n1/d1/r0 b@n2/d2/r0 c@n3/d3/r0"), 0)
	s.SetRetryLimits(retry.Limits{Ratio: 0.2, Slack: 1})
	call, a := s.Begin(now, 1, Request{Deadline: now.Add(time.Second), Repeatable: true, Retries: 1})
	c.Check(a.Repeat, qt.IsFalse)
	a = call.Refused(now, 2, result.AnswerLost, 0)
	c.Check(a.Kind, qt.Equals, Try)
	c.Check(a.Repeat, qt.IsTrue)
	a = call.Refused(now, 3, result.RepeatDenied, 0)
	c.Check(a.Kind, qt.Equals, Try)
	c.Check(a.Repeat, qt.IsTrue)
	a = call.Refused(now, 4, result.RepeatDenied, 0)
	c.Check(a.Kind, qt.Equals, Answer)
	c.Check(a.Code, qt.Equals, result.AnswerLost)
	c.Check(s.Budget().Counts(), qt.Equals, retry.Counts{Taken: 1})
}

// TestCallsOfRepeatsSpendTheBudget checks that requests made by repeats are charged to the
// budget, which leaves less of it for retries.
func TestCallsOfRepeatsSpendTheBudget(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	for inherited, want := range map[float64]uint64{0: 20, 0.1: 10, 0.2: 0} {
		s := NewService(balance.Location{Node: "n0", Domain: "d0", Region: "r0"}, nil)
		s.Table.Update(candidatesOf("a@n1/d1/r0 b@n2/d2/r0"), 0)
		s.SetRetryLimits(retry.Limits{Ratio: 0.2, Slack: 2, Since: now})
		for i := range 100 {
			call, _ := s.Begin(now, uint64(i), Request{Deadline: now.Add(time.Second), Repeatable: true, Retries: 1, RepeatProbability: inherited})
			if call.Refused(now, uint64(i), result.AnswerLost, 0).Kind == Try {
				call.CallerLeft(now)
			}
		}
		got := s.Budget().Counts().Taken
		c.Check(got <= want && got+1 >= want, qt.IsTrue, qt.Commentf("%d for %g", got, inherited))
	}
}
