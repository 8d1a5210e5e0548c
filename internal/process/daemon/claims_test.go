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

// TestUnreachableLeaderIsNotWaitedFor holds that a command waits long for a
// leader that is at work, and short once the leader's address refused.
func TestUnreachableLeaderIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		start := time.Now()
		ctx, cancel := impatient(context.Background(), claimServe)
		defer cancel()
		<-ctx.Done()
		c.Assert(time.Since(start), qt.Equals, claimServe)

		start = time.Now()
		ctx, cancel = impatient(context.Background(), claimServe)
		defer cancel()
		for range 3 {
			ctx.Value(hurryKey{}).(func())()
			time.Sleep(claimWait / 4)
		}
		<-ctx.Done()
		c.Assert(time.Since(start), qt.Equals, claimWait)
	})
	c := qt.New(t)
	c.Assert(mayBeCommitted(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}), qt.IsFalse)
	c.Assert(mayBeCommitted(&net.OpError{Op: "read", Err: syscall.ECONNRESET}), qt.IsTrue)
	c.Assert(mayBeCommitted(result.Errorf(result.CommitUnknown, "")), qt.IsTrue)
}
