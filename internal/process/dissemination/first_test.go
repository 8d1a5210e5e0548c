package dissemination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestFirstVersionIsToldAtOnce checks that a daemon without any version is notified at once
// when a linked daemon installs one, even before a heartbeat has established the tree. After
// a power loss of the whole fleet, daemons had links to the sources 0.3 s before these had
// read their logs, and stayed without a version until the next digest, up to 1 s later.
func TestFirstVersionIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	cores := map[string]*Core{"a": New(Config{Self: "a", Seed: 1}, fleet.Empty()), "b": New(Config{Self: "b", Seed: 2}, fleet.Empty())}
	var deliver func(from string, actions []Action)
	deliver = func(from string, actions []Action) {
		for _, action := range actions {
			if action.Send != nil {
				deliver(action.Send.To, cores[action.Send.To].Receive(now, from, action.Send.Message))
			}
		}
	}
	for _, name := range []string{"a", "b"} {
		deliver(name, cores[name].Tick(now, nil))
	}
	deliver("a", cores["a"].LinkUp("b"))
	deliver("b", cores["b"].LinkUp("a"))
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}}})
	c.Assert(err, qt.IsNil)

	now = now.Add(10 * time.Millisecond)
	deliver("a", cores["a"].InstallFromSource(state))
	c.Check(cores["b"].State().Version, qt.Equals, uint64(1))
}
