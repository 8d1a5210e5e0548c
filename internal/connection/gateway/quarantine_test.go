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

// TestIsolatedRunStartsTooLateToEnd guards against a suspect that waits for an idle server until it has no
// time left: it ends at its time limit, proves nothing, and may crash the server under others.
func TestIsolatedRunStartsTooLateToEnd(t *testing.T) {
	now := time.Now()
	const left = 800 * time.Millisecond
	for name, test := range map[string]struct {
		isolated      bool
		left, typical time.Duration
		want          time.Duration
	}{
		"not isolated":        {left: left, typical: 150 * time.Millisecond, want: left},
		"time to end":         {isolated: true, left: left, typical: 150 * time.Millisecond, want: 500 * time.Millisecond},
		"usually takes long":  {isolated: true, left: left, typical: time.Second, want: left / 2},
		"duration not known":  {isolated: true, left: left, want: left},
		"far from its limits": {isolated: true, left: time.Minute, typical: 150 * time.Millisecond, want: maxIsolationWait},
	} {
		t.Run(name, func(t *testing.T) {
			req := &backendRequest{request: &Request{Isolated: test.isolated}, deadline: now.Add(test.left)}
			qt.Check(t, req.ticket(now, func(string) time.Duration { return test.typical }).Deadline.Sub(now), qt.Equals, test.want)
		})
	}
}

// TestOperatorReleasesARequest guards against a request that stays refused although its fault is mended:
// an operator's release holds against the reports of other daemons, whoever sends the request.
func TestOperatorReleasesARequest(t *testing.T) {
	c := qt.New(t)
	snap, err := snapshot.Compile(fleet.Empty())
	c.Assert(err, qt.IsNil)
	var reports []presence.Suspect
	requests := map[string]*Request{}
	for _, origin := range []string{"one", "two"} {
		r := &Request{Mesh: "m", Origin: origin, HTTP: httptest.NewRequest("GET", "/crash", nil)}
		requests[origin] = r
		id := identityOf(r)
		reports = append(reports, presence.Suspect{
			Fingerprint: uint64(id.Fingerprint()), Content: uint64(id.Content()), Crashes: 4, Until: time.Now().Add(time.Hour).UnixMilli(),
		})
	}
	dir := directory.Build(snap, []presence.Record{{Node: view.Node{Name: "other"}, Suspects: reports}})
	var published []presence.Suspect
	q := NewQuarantine(QuarantineConfig{
		Self: "self", Directory: func() *directory.Directory { return dir }, Publish: func(s []presence.Suspect) { published = s },
	}, logr.Discard())
	c.Assert(q.Screen(requests["one"]).Refusal, qt.IsNotNil)
	c.Check(q.Proven(), qt.HasLen, 2)
	c.Check(q.Release(1), qt.IsFalse)
	c.Check(q.Release(reports[0].Fingerprint), qt.IsTrue)
	c.Check(q.Proven(), qt.HasLen, 0)
	for origin, r := range requests {
		c.Check(q.Screen(r), qt.Equals, Screening{}, qt.Commentf("%s", origin))
	}
	c.Assert(published, qt.HasLen, 2)
	for _, s := range published {
		c.Check(s.Crashes, qt.Equals, uint8(0))
	}
}
