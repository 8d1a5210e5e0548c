package flow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/result"
)

// TestPinnedRequestGoesElsewhereForRoom guards against a request that needs a server for itself and makes
// one server after the other become idle.
func TestPinnedRequestGoesElsewhereForRoom(t *testing.T) {
	for code, want := range map[result.Code]Kind{
		result.Overloaded: Answer, result.DeadlineTooShort: Answer, result.ServerRefused: Answer,
		result.BackendRefused: Try, result.Draining: Try, result.DaemonRefused: Try,
	} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		s := NewService(balance.Location{Node: "n0", Domain: "d0", Region: "r0"}, nil)
		s.Table.Update(candidatesOf("a@n1/d1/r0 b@n2/d2/r0 c@n3/d3/r0"), 0)
		s.SetRetryLimits(retry.Limits{Ratio: 0.2, Slack: 10})
		call, _ := s.Begin(now, 1, Request{Deadline: now.Add(time.Second), Repeatable: true, Retries: 2, Pin: 7})
		a := call.Refused(now, 2, code, 50*time.Millisecond)
		c.Check(a.Kind, qt.Equals, want, qt.Commentf("%s", code))
	}
}
