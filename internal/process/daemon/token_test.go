package daemon_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
)

// TestNoStartWithoutToken checks that a daemon does not start if its operator API would be
// unintentionally open: the token file is missing, or there is no token and the listener is not
// on a loopback address.
func TestNoStartWithoutToken(t *testing.T) {
	c := qt.New(t)
	set := settings.Defaults()
	set.Node, set.Domain = "n1", "d1"
	set.Listen = settings.Listen{Caller: "127.0.0.1:0", Announce: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	set.Operator.TokenFile = filepath.Join(c.TempDir(), "missing")
	_, err := daemon.New(set, logr.Discard())
	c.Assert(err, qt.ErrorMatches, ".*token file: .*missing.*")
	set.Operator.TokenFile = ""
	set.Listen.Operator = "0.0.0.0:0"
	_, err = daemon.New(set, logr.Discard())
	c.Assert(err, qt.ErrorMatches, ".*not a loopback address.*")
}
