package daemon

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// TestUnreachableLeaderIsNotWaitedFor checks that a command waits for the full timeout while
// the leader is reachable, and only claimLeaderWait after the leader's address refused a
// connection.
func TestUnreachableLeaderIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		ctx, cancel := withLeaderTimeout(context.Background(), claimCommandTimeout)
		defer cancel()
		<-ctx.Done()
		c.Assert(time.Since(start), qt.Equals, claimCommandTimeout)

		start = time.Now()
		ctx, cancel = withLeaderTimeout(context.Background(), claimCommandTimeout)
		defer cancel()
		for range 3 {
			ctx.Value(leaderUnreachableKey{}).(func())()
			time.Sleep(claimLeaderWait / 4)
		}
		<-ctx.Done()
		c.Assert(time.Since(start), qt.Equals, claimLeaderWait)
	})
	c := qt.New(t)
	c.Assert(mayBeCommitted(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}), qt.IsFalse)
	c.Assert(mayBeCommitted(&net.OpError{Op: "read", Err: syscall.ECONNRESET}), qt.IsTrue)
	c.Assert(mayBeCommitted(result.Errorf(result.CommitUnknown, "")), qt.IsTrue)
}
