package cli

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Parameters of the rollout demonstration.
const (
	demoVersion     = "v1"
	demoBadVersion  = "v2"
	demoGoodVersion = "v3"
	demoTimeLimit   = 12 * time.Second
	// demoCallers is the number of concurrent callers during the rollouts. Each
	// sends a request, then waits for demoRequestInterval.
	demoCallers         = 12
	demoRequestInterval = 10 * time.Millisecond
)

// demoRollouts rolls out, under load, a version that fails every second request
// and then a good version.
func (d *devMesh) demoRollouts(ctx context.Context) error {
	route := &d.manifest.Routes[0]
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	defer callers.Wait()
	defer cancel()
	for i := range demoCallers {
		callers.Go(func() { d.sendRequests(ctx, i, route) })
	}
	for _, version := range []string{demoBadVersion, demoGoodVersion} {
		if err := d.showRollout(ctx, route, version); err != nil {
			return err
		}
	}
	answer, err := d.request(ctx, d.mesh.Nodes[0], route)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nThe service answers now:\n  %s\n", strings.TrimSpace(answer))
	return nil
}

func (d *devMesh) sendRequests(ctx context.Context, index int, route *manifest.Route) {
	for ; ctx.Err() == nil; index++ {
		_, _ = d.request(ctx, d.mesh.Nodes[index%len(d.mesh.Nodes)], route)
		time.Sleep(demoRequestInterval)
	}
}

func (d *devMesh) showRollout(ctx context.Context, route *manifest.Route, version string) error {
	what := "a good version"
	if version == demoBadVersion {
		what = "a version that fails every second request"
	}
	fmt.Fprintf(d.out, "\nA roll-out of service %s to %s, %s:\n", route.Service, version, what)
	order := operator.RolloutRequest{Mesh: d.manifest.Mesh, Service: route.Service, Target: version, WithinSeconds: demoTimeLimit.Seconds()}
	err := d.waitFor(ctx, "the serving version to be known", func() error {
		_, err := d.client.OrderRollout(ctx, order)
		return err
	})
	if err != nil {
		return err
	}
	if err := d.startVersion(route.Service, version); err != nil {
		return err
	}
	w := rolloutWaiter{client: d.client, name: source.ServiceName{Mesh: order.Mesh, Service: order.Service}, progress: d.progress}
	answer, err := w.run(ctx, demoTimeLimit+rolloutWaitMargin)
	if err != nil && !isCode(err, result.RolledBack) {
		return err
	}
	printRollout(d.out, answer.Rollout)
	return nil
}

// startVersion starts backend servers with another software version of a
// service, in addition to the existing ones.
func (d *devMesh) startVersion(service, version string) error {
	var servers []dev.Server
	for node := range d.mesh.Nodes {
		servers = append(servers, dev.Server{Node: node, Mesh: d.manifest.Mesh, Service: service, Version: version, Fails: version == demoBadVersion})
	}
	return d.mesh.StartServers(servers)
}
