package dissemination_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/dissemination"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestDivergedKeepsOwn checks that different content under the same version at a linked node
// is reported once per divergence, that nothing is pulled, and that the own state is kept.
func TestDivergedKeepsOwn(t *testing.T) {
	c := qt.New(t)
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1})
	c.Assert(err, qt.IsNil)
	core := dissemination.New(dissemination.Config{Self: "a", Seed: 1}, state)
	c.Assert(core.LinkUp("b")[0].Send.Message.Digest.Hash, qt.Equals, state.Hash())
	now := time.Unix(1e9, 0)
	other := dissemination.Message{Digest: &dissemination.Digest{Version: 1, Hash: state.Hash() + 1}}
	want := []dissemination.Action{{Diverged: &dissemination.Diverged{Node: "b", Version: 1, Own: state.Hash(), Other: state.Hash() + 1}}}
	c.Assert(core.Receive(now, "b", other), qt.DeepEquals, want)
	c.Assert(core.Receive(now, "b", other), qt.HasLen, 0)
	c.Assert(core.State(), qt.Equals, state)
	c.Assert(core.Receive(now, "stranger", other), qt.HasLen, 0)
}

// TestWrongHashPullsSnapshot checks that a delta whose result does not match its hash is not
// applied, not even in part, and that a snapshot is requested instead.
func TestWrongHashPullsSnapshot(t *testing.T) {
	c := qt.New(t)
	state, err := fleet.Empty().Accept(&manifest.Manifest{Mesh: "m", Version: 1})
	c.Assert(err, qt.IsNil)
	next, err := state.Accept(&manifest.Manifest{Mesh: "m", Version: 2})
	c.Assert(err, qt.IsNil)
	core := dissemination.New(dissemination.Config{Self: "a", Seed: 1}, state)
	core.LinkUp("b")
	delta := fleet.Diff(state, next)
	delta.Hash++
	raw, err := delta.Encode()
	c.Assert(err, qt.IsNil)
	packed := fleet.Pack(raw)
	actions := core.Receive(time.Unix(1e9, 0), "b", dissemination.Message{Chunk: &dissemination.Chunk{Version: 2, Size: len(packed), Data: packed}})
	c.Assert(actions, qt.HasLen, 2)
	c.Assert(actions[0].Rejected, qt.ErrorIs, fleet.ErrHash)
	c.Assert(actions[1].Send.Message.Pull, qt.DeepEquals, &dissemination.Pull{Version: 1, Full: true})
	c.Assert(core.State(), qt.Equals, state)
}
