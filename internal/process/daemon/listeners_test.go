package daemon

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCallersLeaveFilesForPeers checks that a low limit on open files reduces the caller
// connections and not the connections of the fleet itself.
func TestCallersLeaveFilesForPeers(t *testing.T) {
	c := qt.New(t)
	for _, v := range []struct{ wanted, others, files, want int }{
		{10000, 10512, 1 << 20, 10000},
		{10000, 10512, 20000, 4616},
		{10000, 10512, 1024, minCallerConnections},
		{32, 10512, 1024, 32},
		{10000, 10512, 0, 10000},
	} {
		c.Check(callerConnections(v.wanted, v.others, v.files), qt.Equals, v.want, qt.Commentf("%+v", v))
	}
}
