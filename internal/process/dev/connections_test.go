package dev_test

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

var peerConnections = regexp.MustCompile(`daisygate_listener_connections\{listener="peer"\} (\d+)`)

// peerConnectionsAt returns the number of open connections to the peer listener of a daemon.
func peerConnectionsAt(c *qt.C, n dev.Node) int {
	resp, err := http.Get("http://" + n.Operator + "/metrics")
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	match := peerConnections.FindSubmatch(body)
	c.Assert(match, qt.HasLen, 2, qt.Commentf("%s", body))
	count, err := strconv.Atoi(string(match[1]))
	c.Assert(err, qt.IsNil)
	return count
}

// TestStartLeavesNoConnections guards against sources that hold a connection to every daemon of the
// fleet after all have started at once: daemons keep connections only over links.
func TestStartLeavesNoConnections(t *testing.T) {
	c := qt.New(t)
	const nodes, sources = 40, 5
	// A source has connections from its links, the other sources and the reader of its metrics.
	const maxConnections = 7 + (sources - 1) + 2
	// connectionsWithin is shorter than the time for which the pool keeps an idle connection, and
	// enough for a source on a busy machine to end the links that it has too many of.
	const connectionsWithin = 5 * time.Second
	r := newFixture(c, dev.Config{Nodes: nodes, Log: logr.Discard()})
	m := manifest.Manifest{Mesh: rolloutMesh, Version: 1, Services: []manifest.Service{{Name: rolloutService}}}
	r.eventually(c, func() bool { return r.submit(c, m) == nil })
	r.eventually(c, func() bool {
		status, err := r.client.Fleet(c.Context(), true)
		return err == nil && status.InForce.All && status.InForce.Total == nodes
	})
	for _, n := range r.mesh.Nodes[:sources] {
		count := peerConnectionsAt(c, n)
		for end := time.Now().Add(connectionsWithin); count > maxConnections && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			count = peerConnectionsAt(c, n)
		}
		c.Check(count <= maxConnections, qt.IsTrue, qt.Commentf("%s: %d connections", n.Name, count))
	}
}
