package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestLeadershipNeedsMajority checks that a source that still considers itself the leader gets
// no newer quorum time while the other sources are in another term or do not respond.
func TestLeadershipNeedsMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		terms := map[string]uint64{"b": 3, "c": 3}
		settled := false
		l := &leadership{
			leads:   func() (uint64, bool) { return 3, true },
			version: func() uint64 { return 7 },
			settled: func() bool { return settled },
			others:  func() []string { return []string{"b", "c"} },
			term: func(ctx context.Context, addr string) (uint64, error) {
				if terms[addr] == 0 {
					<-ctx.Done()
					return 0, errors.New("no response")
				}
				return terms[addr], nil
			},
		}
		quorumTime := func() time.Time {
			time.Sleep(2 * quorumRoundTimeout)
			l.state(time.Now(), true)
			synctest.Wait()
			return l.state(time.Now(), false).Quorum
		}
		l.state(time.Now(), true)
		synctest.Wait()
		c.Assert(l.state(time.Now(), false).Quorum.IsZero(), qt.IsTrue, qt.Commentf("entries of earlier leaders are not applied yet"))
		settled = true
		first := quorumTime()
		c.Assert(first, qt.Equals, time.Now())
		terms["b"] = 0
		second := quorumTime()
		c.Assert(second.After(first), qt.IsTrue, qt.Commentf("two of three sources are a majority"))
		terms["c"] = 4
		c.Assert(quorumTime(), qt.Equals, second)
		terms["b"] = 3
		c.Assert(quorumTime(), qt.Equals, time.Now())
		time.Sleep(quorumRoundTimeout)
	})
}
