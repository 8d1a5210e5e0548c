package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"

	"github.com/daisygate/daisygate/internal/process/dev"
	"github.com/daisygate/daisygate/internal/version/diff"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The organisation of the demo and its limit.
const (
	demoOrganisation = "town-hall"
	demoRate         = 5
	demoBurst        = 5
	// demoRequests is more than the limit allows at once.
	demoRequests = 60
)

// showOrganisations adds an organisation to the manifest, sends requests without a key, with its
// key and beyond its limit, and withdraws the key.
func (d *devMesh) showOrganisations(ctx context.Context, n dev.Node) error {
	key := rand.Text()
	err := d.change(ctx, "An organisation with an API key and a limit", func(m *manifest.Manifest) {
		m.Organisations = []manifest.Organisation{{
			Name: demoOrganisation, KeyDigests: []string{manifest.DigestKey(key).String()},
			Priority: manifest.RoutePriority, Rate: demoRate, Burst: demoBurst,
		}}
	})
	if err != nil {
		return err
	}
	route := &d.manifest.Routes[0]
	without, err := d.statusWithKey(ctx, n, route, "")
	if err != nil {
		return err
	}
	with, err := d.statusWithKey(ctx, n, route, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nWithout a key: %d. With the key of %s: %d.\n", without, demoOrganisation, with)
	counts := map[int]int{}
	for range demoRequests {
		status, err := d.statusWithKey(ctx, n, route, key)
		if err != nil {
			return err
		}
		counts[status]++
	}
	fmt.Fprintf(d.out, "%d requests at once, of %d a second and %d more: %d answered, %d told %d and when to retry\n",
		demoRequests, demoRate, demoBurst, counts[http.StatusOK], counts[http.StatusTooManyRequests], http.StatusTooManyRequests)
	err = d.change(ctx, "The key is withdrawn", func(m *manifest.Manifest) { m.Organisations[0].KeyDigests = nil })
	if err != nil {
		return err
	}
	withdrawn, err := d.statusWithKey(ctx, n, route, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.out, "\nWith the withdrawn key: %d.\n", withdrawn)
	return d.change(ctx, "The organisation is removed", func(m *manifest.Manifest) { m.Organisations = nil })
}

// change edits a copy of the manifest and applies it as the next version.
func (d *devMesh) change(ctx context.Context, title string, edit func(m *manifest.Manifest)) error {
	next, err := copyManifest(d.manifest)
	if err != nil {
		return err
	}
	next.Version++
	edit(next)
	return d.applyNext(ctx, title, next)
}

// applyNext prints what differs in the next version of the manifest, and applies it.
func (d *devMesh) applyNext(ctx context.Context, title string, next *manifest.Manifest) error {
	fmt.Fprintf(d.out, "\n%s:\n", title)
	for _, c := range diff.Compare(d.manifest, next) {
		fmt.Fprintln(d.out, "  "+c.String())
	}
	d.manifest = next
	return d.apply(ctx)
}

// statusWithKey sends a request with an API key, if it is not empty, and returns the status.
func (d *devMesh) statusWithKey(ctx context.Context, n dev.Node, r *manifest.Route, key string) (int, error) {
	req, err := d.newRequest(ctx, n, r)
	if err != nil {
		return 0, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
