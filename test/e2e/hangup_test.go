package e2e

import (
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestHangupCutsNothing sends SIGHUP to daemons under load. They must reload their settings,
// keep the old ones if the file is invalid, and interrupt no request.
func TestHangupCutsNothing(t *testing.T) {
	c := qt.New(t)
	cl := newArchiveCluster(c, 3, 0, 1)
	load := cl.startLoad("/records/")
	logged := func(n *node, text string) {
		cl.eventually("the log line "+text, func() error {
			if !strings.Contains(n.process.log.String(), text) {
				return errors.Newf("no %q in the log", text)
			}
			return nil
		})
	}
	for _, n := range cl.nodes {
		c.Assert(n.process.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
		logged(n, "settings reloaded")
	}
	faulty := cl.nodes[0]
	c.Assert(os.WriteFile(cl.settingsPath(faulty), []byte("node: ["), 0o600), qt.IsNil)
	c.Assert(faulty.process.cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	logged(faulty, "failed to reload settings")
	sent := load.stop()
	c.Check(len(sent) > 0, qt.IsTrue)
	c.Check(load.errors, qt.HasLen, 0)
	c.Check(get(faulty, "/records/1", "", "archive\n"), qt.IsNil)
}
