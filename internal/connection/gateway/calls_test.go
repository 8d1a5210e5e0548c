package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/callgraph"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// TestKeylessRoutesAreCalls checks that with organisations, the routes without a key are those of
// backend servers, and that a mesh that does not share load has no calls.
func TestKeylessRoutesAreCalls(t *testing.T) {
	c := qt.New(t)
	for _, sharing := range []string{manifest.LoadSharingOn, manifest.LoadSharingOff} {
		m := &manifest.Manifest{
			Mesh: "m", Version: 1, LoadSharing: sharing, Services: []manifest.Service{{Name: "s"}},
			Routes: []manifest.Route{
				{Name: "inner", Path: "/inner/", Service: "s", Timeout: manifest.DefaultTimeout, Keyless: true},
				{Name: "outer", Path: "/outer/", Service: "s", Timeout: manifest.DefaultTimeout},
			},
			Organisations: []manifest.Organisation{{Name: "o", KeyDigests: []string{manifest.DigestKey("k").String()}, Priority: manifest.RoutePriority}},
		}
		revision, err := fleet.FullRevision(m)
		c.Assert(err, qt.IsNil)
		state, err := fleet.Empty().ApplyRevision(revision)
		c.Assert(err, qt.IsNil)
		snap, err := snapshot.Compile(state)
		c.Assert(err, qt.IsNil)
		g := &Gateway{}
		for path, want := range map[string]bool{"/inner/x": sharing == manifest.LoadSharingOn, "/outer/x": false} {
			route, err := snap.Match("GET", "h", path)
			c.Assert(err, qt.IsNil)
			c.Check(g.isCall(snap, route), qt.Equals, want, qt.Commentf("%s, load_sharing %s", path, sharing))
		}
	}
}

// newCallingFleet returns a fleet of three services with one server each: "a" on the first instance calls
// "c" on the third for each request on /outer, on the route /inner.
func newCallingFleet(c *qt.C, sharing string) *testFleet {
	f := newFleet(c, 3)
	m := &manifest.Manifest{
		Mesh: "m", Version: 2, LoadSharing: sharing, Services: []manifest.Service{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Routes: []manifest.Route{
			{Name: "inner", Path: "/inner", Service: "c", Timeout: manifest.DefaultTimeout, Repeatable: true},
			{Name: "outer", Path: "/outer", Service: "a", Timeout: manifest.DefaultTimeout, Repeatable: true},
		},
	}
	state, err := fleet.Empty().Accept(m)
	c.Assert(err, qt.IsNil)
	f.snap, err = snapshot.Compile(state)
	c.Assert(err, qt.IsNil)
	f.dir.Store(directory.Build(f.snap, nil))
	for i, service := range []string{"a", "b", "c"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if service == "a" {
				_, _ = io.WriteString(w, f.do(0, "GET", "/inner", nil).body)
				return
			}
			_, _ = io.WriteString(w, "ok")
		}))
		c.Cleanup(server.Close)
		f.gateways[i].cfg.Origin = func() string { return service }
		f.addServer(i, presence.Server{Mesh: "m", Service: service, Addr: server.Listener.Addr().String(), Slots: 4, Connections: 100, State: presence.Serving})
	}
	return f
}

// calls returns the number of calls that the server of a gateway has received, as far as they were recognized.
func (f *testFleet) calls(gateway int) uint64 { return f.gateways[gateway].Occupancy()[0].Calls }

// TestCallsAreRecognized checks that the calls of servers are recognized by where they enter, that a request
// that enters there without a run is none, and that one request from elsewhere ends it.
func TestCallsAreRecognized(t *testing.T) {
	c := qt.New(t)
	f := newCallingFleet(c, manifest.LoadSharingOn)
	for i, limit := 0, time.Now().Add(20*time.Second); f.calls(2) == 0 && time.Now().Before(limit); i++ {
		c.Assert(f.do(i%3, "GET", "/outer", nil).body, qt.Equals, "ok")
	}
	before := f.calls(2)
	c.Assert(before > 0, qt.IsTrue)
	internal, _ := f.gateways[0].RouteVerdicts()
	c.Check(internal, qt.Equals, 1, qt.Commentf("the first daemon has heard of it"))

	for limit := time.Now().Add(5 * time.Second); f.gateways[0].runsRequest() && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	before = f.calls(2)
	f.do(0, "GET", "/inner", nil)
	c.Check(f.calls(2), qt.Equals, before, qt.Commentf("no server runs a request there"))

	f.do(1, "GET", "/inner", nil)
	before = f.calls(2)
	f.do(0, "GET", "/outer", nil)
	c.Check(f.calls(2), qt.Equals, before, qt.Commentf("callers use the route"))
	for limit := time.Now().Add(5 * time.Second); f.runningCalls(2) > 0 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	c.Check(f.runningCalls(2), qt.Equals, 0, qt.Commentf("every call has released its slot"))
}

// runningCalls returns the number of calls that hold a slot of a gateway's server.
func (f *testFleet) runningCalls(gateway int) int {
	gate := f.gateways[gateway].backends[f.records[gateway].Servers[0].Addr].gate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.core.RunningCalls()
}

// TestRemoteRequestsAreNoCalls checks that a request from another instance is no call of a run, although a
// server of this one runs a request.
func TestRemoteRequestsAreNoCalls(t *testing.T) {
	c := qt.New(t)
	f := newCallingFleet(c, manifest.LoadSharingOn)
	g, addr := f.gateways[0], f.records[0].Servers[0].Addr
	local, remote := httptest.NewRequest("GET", "/inner", nil), httptest.NewRequest("GET", "/inner", nil)
	local.RemoteAddr, remote.RemoteAddr = "127.0.0.1:7", "192.0.2.1:7"
	c.Check(g.mayBeFromRun(local), qt.IsFalse, qt.Commentf("no run is in progress"))
	c.Assert(acquire(t.Context(), g.backends[addr].gate, admit.Ticket{Deadline: time.Now().Add(time.Minute)}), qt.IsNil)
	c.Check(g.mayBeFromRun(local), qt.IsTrue)
	c.Check(g.mayBeFromRun(remote), qt.IsFalse)
}

// TestNoCallsWithoutLoadSharing checks that a mesh that does not share load has no verdicts and sends none.
func TestNoCallsWithoutLoadSharing(t *testing.T) {
	c := qt.New(t)
	f := newCallingFleet(c, manifest.LoadSharingOff)
	var sent, received http.Header
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent = r.Header.Clone()
		f.gateways[2].ServePeer(w, r)
		received = w.Header().Clone()
	}))
	defer peer.Close()
	f.records[2].Node.Addr = peer.Listener.Addr().String()
	f.dir.Store(directory.Build(f.snap, f.records))
	for range 100 {
		c.Assert(f.do(0, "GET", "/outer", nil).body, qt.Equals, "ok")
	}
	c.Check(sent.Get(headerServer), qt.Not(qt.Equals), "")
	c.Check([]string{sent.Get(headerCall), received.Get(headerCall)}, qt.DeepEquals, []string{"", ""})
	for i, g := range f.gateways {
		internal, external := g.RouteVerdicts()
		c.Check([]int{internal, external, int(f.calls(i))}, qt.DeepEquals, []int{0, 0, 0})
	}
}

// TestCallHeaderIsParsed checks that a statement survives the header, and that nonsense means unknown.
func TestCallHeaderIsParsed(t *testing.T) {
	c := qt.New(t)
	parse := func(text string) callStatement { return parseCall(http.Header{headerCall: {text}}) }
	s := callgraph.Statement{Verdict: callgraph.Internal, Age: 1500 * time.Millisecond}
	c.Check(parse(formatVerdict(s, 77)), qt.Equals, callStatement{Statement: s, services: 77})
	c.Check(parse(formatVerdict(s, 77)+",3"), qt.Equals, callStatement{Statement: s, services: 77, inRun: true, configured: true})
	c.Check(parse("0,0,0,2"), qt.Equals, callStatement{configured: true})
	for _, text := range []string{"", "x", "1", "1,2", "-1,0,5,1", "300,0,5,1", "1,0,-5,1", "1,0,4294967296", "1,0,5x", ",,,", "1,x,5"} {
		c.Check(parse(text), qt.Equals, callStatement{}, qt.Commentf("%q", text))
	}
	for _, text := range []string{"1,-1,5", "1,9223372036854775807,5", "1,5000001,5", "0,0,5,x", "0,0,5,", "0,0,5,99999999999999999999"} {
		c.Check(parse(text), qt.Equals, callStatement{services: 5}, qt.Commentf("%q", text))
	}
}

// TestAbandonedCallsReleaseTheirSlots checks that calls that end while they wait or run are not counted any more.
func TestAbandonedCallsReleaseTheirSlots(t *testing.T) {
	c := qt.New(t)
	g := newGate(admit.Config{Slots: 1, QueueMax: 8})
	call := admit.Ticket{Call: true, Deadline: time.Now().Add(time.Hour)}
	c.Assert(acquire(t.Context(), g, call), qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.Assert(acquire(ctx, g, call).Code, qt.Equals, result.CallerLeft)
	started := make(chan admit.Decision, 1) // the slot was given to the call when its caller left
	started <- admit.Decision{Verdict: admit.Start}
	c.Assert(g.cancel(&call, started, result.CallerLeft).Code, qt.Equals, result.CallerLeft)
	c.Check([]int{g.core.Running(), g.core.RunningCalls(), g.core.Queued()}, qt.DeepEquals, []int{0, 0, 0})
}

// TestVerdictAgesWhileARequestRuns checks that the verdict in a response has aged by the time that the request
// took, so that two daemons do not keep it alive by telling it to each other.
func TestVerdictAgesWhileARequestRuns(t *testing.T) {
	c := qt.New(t)
	f := newCallingFleet(c, manifest.LoadSharingOn)
	g, addr := f.gateways[2], f.records[2].Servers[0].Addr
	const took = 300 * time.Millisecond
	gate := g.backends[addr].gate
	for range 4 { // all slots
		c.Assert(acquire(t.Context(), gate, admit.Ticket{Deadline: time.Now().Add(time.Minute)}), qt.IsNil)
	}
	r := httptest.NewRequest("GET", "/inner", nil)
	for name, value := range map[string]string{
		HeaderTimeout: "10000000", headerStall: "10000000", headerPriority: "5", HeaderDepth: "0", headerServer: addr,
		headerMesh: "m", headerService: "c", headerRoute: "inner", headerOrigin: "a", headerCall: "1,0,5,1",
	} {
		r.Header.Set(name, value)
	}
	release := time.AfterFunc(took, func() { gate.Release("", 0) })
	defer release.Stop()
	w := httptest.NewRecorder()
	g.ServePeer(w, r)
	c.Assert(w.Body.String(), qt.Equals, "ok")
	got := parseCall(w.Header())
	c.Check(got.Verdict, qt.Equals, callgraph.Internal)
	c.Check(got.Age >= took, qt.IsTrue, qt.Commentf("%v", got.Age))
}

// BenchmarkCallHeader measures the statement of a first daemon on its way to another.
func BenchmarkCallHeader(b *testing.B) {
	s := callgraph.Statement{Verdict: callgraph.Internal, Age: 1500 * time.Millisecond}
	h := http.Header{}
	b.ReportAllocs()
	for b.Loop() {
		h.Set(headerCall, formatVerdict(s, 4000000000)+",3")
		parseCall(h)
	}
}
