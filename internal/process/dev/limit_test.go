package dev_test

import (
	"crypto/rand"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// TestLimitRightAfterFirstVersion guards against refusals below the limit of an organisation that was
// configured a few milliseconds after the daemons put their first version in force.
func TestLimitRightAfterFirstVersion(t *testing.T) {
	c := qt.New(t)
	r := newFixture(c, dev.Config{Servers: []dev.Server{{Mesh: rolloutMesh, Service: rolloutService}}, Log: logr.Discard()})
	m := manifest.Manifest{Mesh: rolloutMesh, Version: 1, Services: []manifest.Service{{Name: rolloutService}}}
	var route manifest.Route
	route.SetDefaults()
	route.Name, route.Path, route.Service, route.Timeout = "a", "/a/", rolloutService, time.Second
	m.Routes = []manifest.Route{route}
	r.eventually(c, func() bool { return r.submit(c, m) == nil })
	for node := range r.mesh.Nodes {
		r.eventually(c, func() bool { return r.call(node, "/a/") == http.StatusOK })
	}

	const limit = 30
	key := rand.Text()
	m.Version = 2
	m.Organisations = []manifest.Organisation{{
		Name: "o", KeyDigests: []string{manifest.DigestKey(key).String()}, Priority: manifest.RoutePriority, Rate: limit, Burst: limit,
	}}
	c.Assert(r.submit(c, m), qt.IsNil)
	for node := range r.mesh.Nodes {
		r.eventually(c, func() bool { return r.call(node, "/a/") == http.StatusUnauthorized })
	}
	for i := range limit {
		req, err := http.NewRequestWithContext(c.Context(), http.MethodGet, "http://"+r.mesh.Nodes[i%len(r.mesh.Nodes)].Caller+"/a/", nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d of %d", i+1, limit))
	}
}
