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
	"github.com/goccy/go-yaml"

	"github.com/daisygate/daisygate/internal/connection/operator"
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
	// connectionsWithin is shorter than the time for which the pool keeps an idle connection.
	const connectionsWithin = 2 * time.Second
	mesh, err := dev.Start(dev.Config{Nodes: nodes, Log: logr.Discard()})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(mesh.Stop(), qt.IsNil) })
	r := &fixture{mesh: mesh, client: &operator.Client{Addr: mesh.Nodes[0].Operator, HTTP: &http.Client{Timeout: 10 * time.Second}}}
	raw, err := yaml.Marshal(manifest.Manifest{Mesh: rolloutMesh, Version: 1, Services: []manifest.Service{{Name: rolloutService}}})
	c.Assert(err, qt.IsNil)
	r.eventually(c, func() bool { _, err := r.client.Submit(c.Context(), raw); return err == nil })
	r.eventually(c, func() bool {
		status, err := r.client.Fleet(c.Context(), true)
		return err == nil && status.InForce.All && status.InForce.Total == nodes
	})
	for _, n := range mesh.Nodes[:sources] {
		count := peerConnectionsAt(c, n)
		for end := time.Now().Add(connectionsWithin); count > maxConnections && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			count = peerConnectionsAt(c, n)
		}
		c.Check(count <= maxConnections, qt.IsTrue, qt.Commentf("%s: %d connections", n.Name, count))
	}
}
