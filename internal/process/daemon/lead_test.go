package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestLeadershipNeedsMajority: a source that still takes itself for the leader
// has no newer quorum from sources that went on to another term or are silent.
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
					return 0, errors.New("silent")
				}
				return terms[addr], nil
			},
		}
		ask := func() time.Time {
			time.Sleep(2 * leadRoundTimeout)
			l.lead(time.Now(), true)
			synctest.Wait()
			return l.lead(time.Now(), false).Quorum
		}
		l.lead(time.Now(), true)
		synctest.Wait()
		c.Assert(l.lead(time.Now(), false).Quorum.IsZero(), qt.IsTrue, qt.Commentf("the term has just begun"))
		settled = true
		first := ask()
		c.Assert(first, qt.Equals, time.Now())
		terms["b"] = 0
		second := ask()
		c.Assert(second.After(first), qt.IsTrue, qt.Commentf("one silent source of three is no harm"))
		terms["c"] = 4
		c.Assert(ask(), qt.Equals, second)
		terms["b"] = 3
		c.Assert(ask(), qt.Equals, time.Now())
		time.Sleep(leadRoundTimeout)
	})
}
