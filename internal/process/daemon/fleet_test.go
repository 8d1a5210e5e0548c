package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
)

// waitTimeout bounds every wait for an expected event. It is not a performance requirement.
const waitTimeout = 30 * time.Second

// testManifest has one route to a service whose servers may have any loopback address.
const testManifest = `
mesh: a
version: 1
services: [{name: s, allow: [127.0.0.0/8]}]
routes: [{name: r, path: /, service: s}]
`

// testDaemon is a daemon that runs in the test process.
type testDaemon struct {
	*daemon.Daemon
	set  settings.Settings
	stop func()
}

// startDaemon runs a daemon on free ports. The first daemon of a fleet is the only source; its
// seed is nil.
func startDaemon(c *qt.C, name string, seed *testDaemon, change func(*settings.Settings)) *testDaemon {
	return startDaemonAt(c, name, nil, func(set *settings.Settings) {
		if seed == nil {
			set.DataDir = c.TempDir()
			set.Source.Members = []settings.Member{{Node: name, Peer: set.Listen.Peer}}
		} else {
			set.Seeds = []string{seed.set.Listen.Peer}
			set.Source = seed.set.Source
		}
		if change != nil {
			change(set)
		}
	})
}

// startDaemonAt runs a daemon with an open peer listener; nil opens one on a free port. The
// daemon is not a source unless change makes it one.
func startDaemonAt(c *qt.C, name string, peer net.Listener, change func(*settings.Settings)) *testDaemon {
	var err error
	if peer == nil {
		peer, err = net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
	}
	set := settings.Defaults()
	set.Node, set.Domain = name, "d"
	set.Listen = settings.Listen{Caller: "127.0.0.1:0", Announce: "127.0.0.1:0", Peer: peer.Addr().String(), Operator: "127.0.0.1:0"}
	set.Stop.LeaveDelay = time.Millisecond
	change(&set)
	c.Assert(set.Validate(), qt.IsNil)
	d, err := daemon.NewWithListeners(set, logr.Discard(), map[string]net.Listener{"peer": peer})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			c.Check(<-done, qt.IsNil)
		}
	}
	c.Cleanup(stop)
	return &testDaemon{Daemon: d, set: set, stop: stop}
}

// applyManifest submits testManifest and waits until every daemon is ready.
func applyManifest(c *qt.C, source *testDaemon, fleet ...*testDaemon) {
	client := operator.Client{Addr: source.Addr("operator"), HTTP: http.DefaultClient}
	eventually(c, "manifest accepted", func() bool {
		answer, err := client.Submit(context.Background(), []byte(testManifest))
		return err == nil && answer.Code < 110
	})
	for _, d := range append(fleet, source) {
		eventually(c, "ready", func() bool { return d.NotReady() == "" })
	}
}

// eventually waits until holds returns true; what describes the condition.
func eventually(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("condition not met in time: %s", what)
}

// startBackend runs a backend server, announces it to d and waits until caller serves calls.
func startBackend(c *qt.C, d, caller *testDaemon, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	body, err := json.Marshal(announce.Announcement{
		Mesh: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 4, Connections: 8, LeaseSeconds: 60,
	})
	c.Assert(err, qt.IsNil)
	req, err := http.NewRequest(http.MethodPut, "http://"+d.Addr("announce")+announce.ServersPath, strings.NewReader(string(body)))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusNoContent)
	eventually(c, "a call is answered", func() bool {
		status, _ := fetch(c, caller.Addr("caller"), "/")
		return status == http.StatusOK
	})
}

// fetch returns the status and the body of a GET request.
func fetch(c *qt.C, addr, path string) (int, string) {
	resp, err := http.Get(fmt.Sprintf("http://%s%s", addr, path))
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(body)
}

// TestHealthTellsTheTruth checks that a daemon reports that it is not ready, with the reason,
// until a confirmed version is in force.
func TestHealthTellsTheTruth(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	source := startDaemon(c, "a", nil, nil)
	status, body := fetch(c, source.Addr("operator"), "/healthz")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	status, body = fetch(c, source.Addr("operator"), "/readyz")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "not ready: no version has reached this daemon yet\n")
	applyManifest(c, source)
	status, body = fetch(c, source.Addr("operator"), "/readyz")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	_, body = fetch(c, source.Addr("operator"), "/metrics")
	c.Assert(body, qt.Contains, "daisygate_version_in_force 1\n")
	c.Assert(body, qt.Contains, "daisygate_source_role{role=\"leader\"} 1\n")
}

// TestDataFolderIsLocked checks that two daemons cannot use the same data directory and that
// the lock is released at a stop.
func TestDataFolderIsLocked(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	first := startDaemon(c, "a", nil, nil)
	set := first.set
	set.Listen.Peer = "127.0.0.1:0"
	_, err := daemon.New(set, logr.Discard())
	c.Assert(err, qt.ErrorMatches, `data folder .* \(process \d+\): is used by another process`)
	first.stop()
	startDaemon(c, "a", nil, func(s *settings.Settings) { s.DataDir = set.DataDir })
}
