package source

import (
	"fmt"
	"slices"
	"strings"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// routeKey is what two routes must share to compete for a request: the host,
// "" for any, and the path.
type routeKey struct {
	host, path string
}

// routeOwner is a route as the index knows it.
type routeOwner struct {
	mesh, name string
	// methods is empty for every method.
	methods []string
}

// routeIndex finds the routes of all meshes by host and path.
type routeIndex map[routeKey][]routeOwner

// routeClash is a route that would take requests of another mesh.
type routeClash struct {
	key   routeKey
	route string
	mesh  string
	other string
}

// String names both routes.
func (c *routeClash) String() string {
	return fmt.Sprintf("route %s: host %q path %s belongs to route %s of mesh %s", c.route, c.key.host, c.key.path, c.other, c.mesh)
}

func indexRoutes(state *fleet.State) (routeIndex, error) {
	index := routeIndex{}
	for _, mesh := range state.Meshes() {
		m, err := state.Manifest(mesh)
		if err != nil {
			return nil, err
		}
		index.replace(m)
	}
	return index, nil
}

// replace takes the routes of one mesh out and puts those of m in.
func (x routeIndex) replace(m *manifest.Manifest) {
	for key, owners := range x {
		owners = slices.DeleteFunc(owners, func(o routeOwner) bool { return o.mesh == m.Mesh })
		if x[key] = owners; len(owners) == 0 {
			delete(x, key)
		}
	}
	for i := range m.Routes {
		r := &m.Routes[i]
		for _, key := range keysOf(m, r) {
			x[key] = append(x[key], routeOwner{mesh: m.Mesh, name: r.Name, methods: r.Methods})
		}
	}
}

func keysOf(m *manifest.Manifest, r *manifest.Route) []routeKey {
	var keys []routeKey
	for _, host := range m.HostsOf(r) {
		keys = append(keys, routeKey{host: strings.ToLower(host), path: r.Path})
	}
	return keys
}

// clash returns the first route of m that another mesh has already, or nil.
func (x routeIndex) clash(m *manifest.Manifest) *routeClash {
	for i := range m.Routes {
		r := &m.Routes[i]
		for _, key := range keysOf(m, r) {
			for _, o := range x[key] {
				if o.mesh != m.Mesh && overlap(o.methods, r.Methods) {
					return &routeClash{key: key, route: r.Name, mesh: o.mesh, other: o.name}
				}
			}
		}
	}
	return nil
}

func overlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
