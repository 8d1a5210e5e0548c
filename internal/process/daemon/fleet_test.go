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

// patience bounds every wait for something that must happen; it is no measure.
const patience = 30 * time.Second

// testManifest has one route, to a service that any loopback address serves.
const testManifest = `
mesh: a
version: 1
services: [{name: s, allow: [127.0.0.0/8]}]
routes: [{name: r, path: /, service: s}]
`

// running is a daemon of this process.
type running struct {
	*daemon.Daemon
	set  settings.Settings
	stop func()
}

// startDaemon runs a daemon on ports of the system's choice. The first of a
// fleet is its only source; seed is nil for it.
func startDaemon(c *qt.C, name string, seed *running, change func(*settings.Settings)) *running {
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

// startDaemonAt runs a daemon whose peer listener is open already, nil for one of the
// system's choice. It is no source unless change makes it one.
func startDaemonAt(c *qt.C, name string, peer net.Listener, change func(*settings.Settings)) *running {
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
	d, err := daemon.NewOn(set, logr.Discard(), map[string]net.Listener{"peer": peer})
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
	return &running{Daemon: d, set: set, stop: stop}
}

// apply submits testManifest and waits until every daemon is ready.
func apply(c *qt.C, source *running, fleet ...*running) {
	client := operator.Client{Addr: source.Addr("operator"), HTTP: http.DefaultClient}
	eventually(c, "manifest accepted", func() bool {
		answer, err := client.Submit(context.Background(), []byte(testManifest))
		return err == nil && answer.Code < 110
	})
	for _, d := range append(fleet, source) {
		eventually(c, "ready", func() bool { return d.NotReady() == "" })
	}
}

func eventually(c *qt.C, what string, holds func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.Fatalf("never: %s", what)
}

// startBackend runs a backend server beside d, and waits until at can reach it.
func startBackend(c *qt.C, d, at *running, handler http.HandlerFunc) {
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
		status, _ := fetch(c, at.Addr("caller"), "/")
		return status == http.StatusOK
	})
}

func fetch(c *qt.C, addr, path string) (int, string) {
	resp, err := http.Get(fmt.Sprintf("http://%s%s", addr, path))
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp.StatusCode, string(body)
}

// TestHealthTellsTheTruth holds that a daemon is not ready before a confirmed
// version is in force, and says why.
func TestHealthTellsTheTruth(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	source := startDaemon(c, "a", nil, nil)
	status, body := fetch(c, source.Addr("operator"), "/healthz")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	status, body = fetch(c, source.Addr("operator"), "/readyz")
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "not ready: no version has reached this daemon yet\n")
	apply(c, source)
	status, body = fetch(c, source.Addr("operator"), "/readyz")
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	_, body = fetch(c, source.Addr("operator"), "/metrics")
	c.Assert(body, qt.Contains, "daisygate_version_in_force 1\n")
	c.Assert(body, qt.Contains, "daisygate_source_role{role=\"leader\"} 1\n")
}

// TestDataFolderIsLocked holds that two daemons never use one data folder, and
// that it is free again after a stop.
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
