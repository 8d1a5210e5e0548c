package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// shortTimeout is the timeout of the route /short. Transfers must be able to outlast it.
const shortTimeout = 300 * time.Millisecond

// testFleet is a set of gateways on loopback that know each other.
type testFleet struct {
	c        *qt.C
	gateways []*Gateway
	callers  []*httptest.Server
	records  []presence.Record
	dir      atomic.Pointer[directory.Directory]
	state    *fleet.State
	snap     *snapshot.Snapshot
}

func newFleet(c *qt.C, size int) *testFleet {
	f := &testFleet{c: c}
	route := func(path string, timeout time.Duration, repeatable bool) manifest.Route {
		return manifest.Route{Name: path, Path: path, Service: "s", Timeout: timeout, Repeatable: repeatable, Retries: 2}
	}
	first, again := route("/first", 2*time.Second, true), route("/again", 2*time.Second, true)
	first.Priority, again.Priority = 0, 5
	state, err := fleet.Empty().Accept(&manifest.Manifest{
		Mesh: "m", Version: 1, Services: []manifest.Service{{Name: "s"}},
		Routes: []manifest.Route{route("/", 20*time.Second, false), route("/short", shortTimeout, false), first, again},
	})
	c.Assert(err, qt.IsNil)
	f.state = state
	f.snap, err = snapshot.Compile(state)
	c.Assert(err, qt.IsNil)
	f.dir.Store(directory.Build(f.snap, nil))
	for i := range size {
		g := New(Config{
			Self: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i), QueuePerSlot: 2,
			Directory: f.dir.Load, Ready: func() bool { return true },
		}, logr.Discard())
		caller := httptest.NewServer(http.HandlerFunc(g.ServeCaller))
		peer := httptest.NewServer(http.HandlerFunc(g.ServePeer))
		c.Cleanup(caller.Close)
		c.Cleanup(peer.Close)
		f.gateways, f.callers = append(f.gateways, g), append(f.callers, caller)
		f.records = append(f.records, presence.Record{Node: view.Node{Name: g.cfg.Self, Addr: peer.Listener.Addr().String(), Domain: g.cfg.Domain}})
	}
	return f
}

// addServers adds servers with the given number of slots, keyed by the index of their
// gateway.
func (f *testFleet) addServers(slots int, servers map[int]string) {
	for i, addr := range servers {
		f.addServer(i, presence.Server{Mesh: "m", Service: "s", Addr: addr, Slots: slots, Connections: 100, State: presence.Serving})
	}
}

func (f *testFleet) addServer(at int, s presence.Server) {
	f.records[at].Servers = append(f.records[at].Servers, s)
	f.dir.Store(directory.Build(f.snap, f.records))
	for i, g := range f.gateways {
		g.SetServers(f.records[i].Servers)
	}
}

// orderRollout puts a rollout of service s in force on all gateways.
func (f *testFleet) orderRollout(r *fleet.Rollout) {
	state, err := f.state.SetRollout("m", "s", r)
	f.c.Assert(err, qt.IsNil)
	f.snap, err = snapshot.Compile(state)
	f.c.Assert(err, qt.IsNil)
	f.dir.Store(directory.Build(f.snap, f.records))
}

// serverScript handles the requests of a raw backend server. It receives the number of
// the request since the start and the request, and writes to the connection.
type serverScript func(n int64, r *http.Request, conn net.Conn) (keep bool)

func rawServer(c *qt.C, s serverScript) (addr string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	runs = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveScript(conn, runs, s)
		}
	}()
	c.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String()).String(), runs
}

func serveScript(conn net.Conn, runs *atomic.Int64, s serverScript) {
	defer func() { _ = conn.Close() }()
	for br := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(br)
		if err != nil || !s(runs.Add(1), r, conn) {
			return
		}
	}
}

func writeRaw(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

const okAnswer = "HTTP/1.1 200 OK\nContent-Length: 2\n\n"

type callResult struct {
	status  int
	outcome string
	body    string
	err     error
	resp    *http.Response
}

func (f *testFleet) do(gateway int, method, path string, body io.Reader, header ...string) callResult {
	req, err := http.NewRequest(method, f.callers[gateway].URL+path, body)
	f.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	transport := &http.Transport{} // a new connection, so that the transport does not retry
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, outcome: resp.Header.Get(result.HeaderOutcome), body: string(raw), err: err, resp: resp}
}

// forLocalAndForwarded runs a test with the server on the first daemon's instance, and
// with it on another instance.
func forLocalAndForwarded(t *testing.T, test func(c *qt.C, f *testFleet, at int)) {
	for at, name := range []string{"local", "forwarded"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			test(c, newFleet(c, 2), at)
		})
	}
}

// slowReader returns parts with pauses that together exceed shortTimeout.
type slowReader struct{ remaining int }

func (s *slowReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	s.remaining--
	time.Sleep(shortTimeout / 3)
	return copy(p, "part"), nil
}
