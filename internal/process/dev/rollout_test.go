package dev_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/goccy/go-yaml"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The service that is rolled out and the load on it.
const (
	rolloutMesh    = "m"
	rolloutService = "s"
	callers        = 8
	callerDelay    = 10 * time.Millisecond
	rolloutWithin  = 9 * time.Second
)

// fixture is a mesh of three daemons with a backend server of version v1 at each.
type fixture struct {
	mesh   *dev.Mesh
	client *operator.Client
	// answered, failed and refused count the requests of load by status: 200, 500 and any
	// other or none.
	answered, refused, failed atomic.Int64
	// errorBodies holds the distinct bodies of responses with a status other than 200.
	errorBodies sync.Map
}

// newFixture starts a mesh that runs until the test ends.
func newFixture(c *qt.C, cfg dev.Config) *fixture {
	mesh, err := dev.Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(mesh.Stop(), qt.IsNil) })
	return &fixture{mesh: mesh, client: &operator.Client{Addr: mesh.Nodes[0].Operator, HTTP: &http.Client{Timeout: 10 * time.Second}}}
}

// submit submits a manifest.
func (r *fixture) submit(c *qt.C, m manifest.Manifest) error {
	raw, err := yaml.Marshal(m)
	c.Assert(err, qt.IsNil)
	_, err = r.client.Submit(c.Context(), raw)
	return err
}

func startFixture(c *qt.C) *fixture {
	servers := []dev.Server{}
	for node := range 3 {
		servers = append(servers, dev.Server{Node: node, Mesh: rolloutMesh, Service: rolloutService, Version: "v1"})
	}
	r := newFixture(c, dev.Config{Servers: servers, Rollouts: true, Log: logr.Discard()})
	m := manifest.Manifest{Mesh: rolloutMesh, Version: 1, Services: []manifest.Service{{Name: rolloutService}}}
	for _, path := range []string{"/a/", "/b/"} {
		var route manifest.Route
		route.SetDefaults()
		route.Name, route.Path, route.Service, route.Timeout = strings.Trim(path, "/"), path, rolloutService, time.Second
		m.Routes = append(m.Routes, route)
	}
	r.eventually(c, func() bool { return r.submit(c, m) == nil })
	r.eventually(c, func() bool { return r.call(0, "/a/") == http.StatusOK })
	// A roll-out to the version in use is rejected as invalid once that version is known.
	r.eventually(c, func() bool {
		_, err := r.order(c, "v1")
		var coded *result.Error
		return errors.As(err, &coded) && coded.Code == result.RolloutInvalid
	})
	return r
}

// eventually polls done until it returns true and fails the test after a minute.
func (r *fixture) eventually(c *qt.C, done func() bool) {
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(20 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
}

// call sends one request and returns the status of the response, or 0 without a response.
func (r *fixture) call(node int, path string) int {
	resp, err := http.Get("http://" + r.mesh.Nodes[node].Caller + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		r.errorBodies.Store(string(body), true)
	}
	return resp.StatusCode
}

// load sends requests to all daemons until the test ends.
func (r *fixture) load(c *qt.C) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				switch r.call(n%len(r.mesh.Nodes), []string{"/a/", "/b/"}[n/3%2]) {
				case http.StatusOK:
					r.answered.Add(1)
				case http.StatusInternalServerError:
					r.failed.Add(1)
				default:
					r.refused.Add(1)
				}
				time.Sleep(callerDelay)
			}
		})
	}
	c.Cleanup(func() { cancel(); wait.Wait() })
}

// order orders a roll-out to the version target.
func (r *fixture) order(c *qt.C, target string) (source.Answer, error) {
	return r.client.OrderRollout(c.Context(), operator.RolloutRequest{
		Mesh: rolloutMesh, Service: rolloutService, Target: target, WithinSeconds: rolloutWithin.Seconds(),
	})
}

// waitForEnd waits for the end of the roll-out, querying the daemons in turn. Once one daemon
// reports a final stage, all others must report the same stage.
func (r *fixture) waitForEnd(c *qt.C) *fleet.Rollout {
	var final *fleet.Rollout
	attempt := 0
	r.eventually(c, func() bool {
		attempt++
		client := &operator.Client{Addr: r.mesh.Nodes[attempt%len(r.mesh.Nodes)].Operator, HTTP: http.DefaultClient}
		answer, err := client.Rollout(c.Context(), source.ServiceName{Mesh: rolloutMesh, Service: rolloutService})
		if err == nil && answer.Rollout.Stage.Final() {
			final = answer.Rollout
		}
		return final != nil
	})
	for _, n := range r.mesh.Nodes {
		client := &operator.Client{Addr: n.Operator, HTTP: http.DefaultClient}
		answer, err := client.Rollout(c.Context(), source.ServiceName{Mesh: rolloutMesh, Service: rolloutService})
		c.Assert(err, qt.IsNil)
		c.Check(answer.Rollout.Stage, qt.Equals, final.Stage)
	}
	return final
}

// startVersion starts one more backend server at each daemon, with the given version.
func (r *fixture) startVersion(c *qt.C, version string, fails bool) {
	var servers []dev.Server
	for node := range 3 {
		servers = append(servers, dev.Server{Node: node, Mesh: rolloutMesh, Service: rolloutService, Version: version, Fails: fails})
	}
	c.Assert(r.mesh.StartServers(servers), qt.IsNil)
}

// totalRequests returns the number of requests received by the servers with an index in
// [from, to).
func totalRequests(c *qt.C, r *fixture, from, to int) int {
	sum := 0
	for _, s := range r.mesh.Servers[from:to] {
		sum += s.Requests()
	}
	return sum
}

// TestRolloutGood rolls out a healthy version. The version must get no requests before the
// roll-out is ordered, and the previous version none after it is completed.
func TestRolloutGood(t *testing.T) {
	c := qt.New(t)
	r := startFixture(c)
	r.load(c)
	r.startVersion(c, "v2", false)
	time.Sleep(1500 * time.Millisecond)
	c.Check(totalRequests(c, r, 3, 6), qt.Equals, 0, qt.Commentf("no roll-out was ordered"))

	answer, err := r.order(c, "v2")
	c.Assert(err, qt.IsNil)
	c.Check(answer.Code, qt.Equals, result.Accepted)
	again, err := r.order(c, "v2")
	c.Assert(err, qt.IsNil)
	c.Check(again.Code, qt.Equals, result.AlreadyAccepted)
	_, err = r.order(c, "v3")
	c.Check(err, qt.ErrorMatches, "117 .*")

	end := r.waitForEnd(c)
	before := totalRequests(c, r, 0, 3)
	c.Check(end.Stage, qt.Equals, fleet.Completed, qt.Commentf("%s", end.Why))
	time.Sleep(500 * time.Millisecond)
	c.Check(totalRequests(c, r, 0, 3), qt.Equals, before, qt.Commentf("the version before got requests after the end"))
	r.errorBodies.Range(func(body, _ any) bool { t.Log(body); return true })
	c.Check(r.failed.Load()+r.refused.Load(), qt.Equals, int64(0))
	_, err = r.order(c, "v2")
	c.Check(err, qt.IsNil, qt.Commentf("the same order is acknowledged after the end too"))
}

// TestRolloutBad rolls out a version that fails every second request, which must be rolled
// back.
func TestRolloutBad(t *testing.T) {
	c := qt.New(t)
	r := startFixture(c)
	r.load(c)
	r.eventually(c, func() bool { _, err := r.order(c, "v2"); return err == nil })
	baseline := totalRequests(c, r, 0, 3)
	r.startVersion(c, "v2", true)
	end := r.waitForEnd(c)
	c.Check(end.Stage, qt.Equals, fleet.RolledBack)
	bad, all := totalRequests(c, r, 3, 6), totalRequests(c, r, 0, 6)-baseline
	c.Check(float64(bad) <= 0.1*float64(all)+50, qt.IsTrue, qt.Commentf("%d of %d", bad, all))
	time.Sleep(500 * time.Millisecond)
	c.Check(totalRequests(c, r, 3, 6), qt.Equals, bad, qt.Commentf("the version got requests after it was rolled back"))
	c.Check(r.refused.Load(), qt.Equals, int64(0))
	t.Logf("%s; %d of %d requests went to the version, %d failed", end.Why, bad, all, r.failed.Load())
}
