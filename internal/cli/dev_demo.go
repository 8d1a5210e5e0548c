package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// demo sends a request, applies a changed manifest, sends the request again, and shows
// a split route and an organisation.
func (d *devMesh) demo(ctx context.Context) error {
	entry, route := d.mesh.Nodes[len(d.mesh.Nodes)-1], &d.manifest.Routes[0]
	if err := d.printRequest(ctx, "A request to daemon "+entry.Name, entry, route); err != nil {
		return err
	}
	next, err := changedManifest(d.manifest)
	if err != nil {
		return err
	}
	if err := d.applyNext(ctx, "A change", next); err != nil {
		return err
	}
	if err := d.printRequest(ctx, "The same request after the change", entry, &next.Routes[0]); err != nil {
		return err
	}
	if err := d.showSplit(ctx, entry); err != nil {
		return err
	}
	return d.showOrganisations(ctx, entry)
}

// The route that the demo adds: a separate host with a weighted split between
// two services.
const (
	splitRoute    = "demo-split"
	splitHost     = "split.example"
	splitRequests = 100
)

// withSplit adds the demo route to m if it is missing.
func withSplit(m *manifest.Manifest, services [2]string) {
	if slices.ContainsFunc(m.Routes, func(r manifest.Route) bool { return r.Name == splitRoute }) {
		return
	}
	var route manifest.Route
	route.SetDefaults()
	route.Name, route.Path, route.Repeatable = splitRoute, "/", true
	route.Hosts = []string{splitHost}
	route.Split = []manifest.Share{{Service: services[0], Weight: 90}, {Service: services[1], Weight: 10}}
	m.Routes = append(m.Routes, route)
}

// showSplit sends requests for the demo route and prints how many each service
// answered.
func (d *devMesh) showSplit(ctx context.Context, n dev.Node) error {
	at := slices.IndexFunc(d.manifest.Routes, func(r manifest.Route) bool { return r.Name == splitRoute })
	if at < 0 {
		return nil
	}
	route := &d.manifest.Routes[at]
	counts := map[string]int{}
	for range splitRequests {
		answer, err := d.request(ctx, n, route)
		if err != nil {
			return err
		}
		service, _, _ := strings.Cut(strings.TrimPrefix(answer, "answered by service "), " ")
		counts[service]++
	}
	fmt.Fprintf(d.out, "\n%d requests to a host that is split between services by weight:\n  $ %s\n", splitRequests, d.curl(n, route))
	for _, share := range route.Split {
		fmt.Fprintf(d.out, "  %s, weight %d: %d answers\n", share.Service, share.Weight, counts[share.Service])
	}
	return nil
}

func (d *devMesh) printRequest(ctx context.Context, title string, n dev.Node, r *manifest.Route) error {
	answer, err := d.request(ctx, n, r)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\n%s:\n  $ %s\n  %s\n", title, d.curl(n, r), strings.TrimSpace(answer))
	return nil
}

// copyManifest returns a deep copy of m.
func copyManifest(m *manifest.Manifest) (*manifest.Manifest, error) {
	raw, err := yaml.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	next, err := manifest.Parse(raw)
	return next, errors.Wrap(err, "copy manifest")
}

// changedManifest returns the next version of m, with the first route moved to
// another service and the demo route added.
func changedManifest(m *manifest.Manifest) (*manifest.Manifest, error) {
	next, err := copyManifest(m)
	if err != nil {
		return nil, err
	}
	next.Version++
	next.Organisations = nil
	for _, s := range next.Services {
		if s.Name != next.Routes[0].Service {
			withSplit(next, [2]string{next.Routes[0].Service, s.Name})
			next.Routes[0].Service = s.Name
			return next, nil
		}
	}
	return nil, usageError("--demo needs a manifest with two services")
}
