package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestRestartedDaemonRefusesSuspects guards against a restarted daemon running a request
// that crashed servers under its previous process.
func TestRestartedDaemonRefusesSuspects(t *testing.T) {
	c := qt.New(t)
	snap, err := snapshot.Compile(fleet.Empty())
	c.Assert(err, qt.IsNil)
	r := &Request{Mesh: "m", HTTP: httptest.NewRequest("GET", "/crash", nil)}
	id := identityOf(r)
	suspect := presence.Suspect{
		Fingerprint: uint64(id.Fingerprint()), Crashes: 2, Until: time.Now().Add(time.Hour).UnixMilli(),
	}
	for _, owner := range []string{"self", "other"} {
		dir := directory.Build(snap, []presence.Record{{Node: view.Node{Name: owner}, Suspects: []presence.Suspect{suspect}}})
		q := NewQuarantine(QuarantineConfig{
			Self: "self", Directory: func() *directory.Directory { return dir }, Publish: func([]presence.Suspect) {},
		}, logr.Discard())
		s := q.Screen(r)
		c.Assert(s.Refusal != nil, qt.IsTrue, qt.Commentf("%s", owner))
		c.Check(s.Refusal.Code, qt.Equals, result.Quarantined)
	}
}
