package spread

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestFirstVersionIsToldAtOnce holds that a daemon without any version hears at once when one
// comes to a daemon that it has a link to, also while no heartbeat has told who is whose
// parent. After the loss of all power daemons had links to sources 0.3 s before these had
// read their logs, and went without a version until the next digest, up to 1 s later.
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
	deliver("a", cores["a"].Publish(state))
	c.Check(cores["b"].State().Version, qt.Equals, uint64(1))
}
