package source

import (
	"fmt"
	"slices"
	"strings"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// routeKey is the host ("" for any) and the path of a route. Two routes can match the
// same request only if they have the same key.
type routeKey struct {
	host, path string
}

// routeOwner is a route in the index.
type routeOwner struct {
	mesh, name string
	// methods is empty if the route matches all methods.
	methods []string
}

// routeIndex indexes the routes of all meshes by host and path.
type routeIndex map[routeKey][]routeOwner

// routeConflict is a conflict between a route and a route of another mesh that matches the
// same requests.
type routeConflict struct {
	key        routeKey
	route      string
	otherMesh  string
	otherRoute string
}

// String returns a description that names both routes.
func (c *routeConflict) String() string {
	return fmt.Sprintf("route %s: host %q path %s belongs to route %s of mesh %s", c.route, c.key.host, c.key.path, c.otherRoute, c.otherMesh)
}

func indexRoutes(state *fleet.State) (routeIndex, error) {
	index := routeIndex{}
	for _, mesh := range state.Meshes() {
		m, err := state.Manifest(mesh)
		if err != nil {
			return nil, err
		}
		index.apply(mesh, routeDiff{added: hostedRoutes(m)})
	}
	return index, nil
}

// hostedRoute is a route together with the hosts of its manifest.
type hostedRoute struct {
	hosts []string
	route *manifest.Route
}

func (h hostedRoute) keys() []routeKey {
	m := manifest.Manifest{Hosts: h.hosts}
	var keys []routeKey
	for _, host := range m.HostsOf(h.route) {
		keys = append(keys, routeKey{host: strings.ToLower(host), path: h.route.Path})
	}
	return keys
}

// routeDiff is the change that a revision makes to the index.
type routeDiff struct{ removed, added []hostedRoute }

// diffRoutes returns the index change for a revision. It compares only the routes listed
// in the revision, or all routes of the mesh if the revision replaces the whole manifest or
// changes its hosts.
func diffRoutes(before, after *fleet.State, r *fleet.Revision) routeDiff {
	header, _ := before.Mesh(r.Mesh)
	var diff routeDiff
	if r.Base == 0 || !slices.Equal(header.Hosts, r.Hosts) {
		diff.removed = meshRoutes(before, r.Mesh)
		diff.added = meshRoutes(after, r.Mesh)
		return diff
	}
	for _, c := range r.Changes {
		if c.Key.Kind != fleet.KindRoute {
			continue
		}
		if old := before.Route(r.Mesh, c.Key.Name); old != nil {
			diff.removed = append(diff.removed, hostedRoute{header.Hosts, old})
		}
		if route := after.Route(r.Mesh, c.Key.Name); route != nil {
			diff.added = append(diff.added, hostedRoute{r.Hosts, route})
		}
	}
	return diff
}

// meshRoutes returns the routes of a mesh, or nil if its manifest cannot be read.
func meshRoutes(state *fleet.State, mesh string) []hostedRoute {
	m, err := state.Manifest(mesh)
	if err != nil {
		return nil
	}
	return hostedRoutes(m)
}

// hostedRoutes returns the routes of a manifest together with its hosts.
func hostedRoutes(m *manifest.Manifest) []hostedRoute {
	routes := make([]hostedRoute, len(m.Routes))
	for i := range m.Routes {
		routes[i] = hostedRoute{m.Hosts, &m.Routes[i]}
	}
	return routes
}

// apply removes and adds the routes of a mesh listed in diff.
func (x routeIndex) apply(mesh string, diff routeDiff) {
	for _, h := range diff.removed {
		x.remove(mesh, h)
	}
	for _, h := range diff.added {
		x.add(mesh, h)
	}
}

func (x routeIndex) add(mesh string, h hostedRoute) {
	for _, key := range h.keys() {
		x[key] = append(x[key], routeOwner{mesh: mesh, name: h.route.Name, methods: h.route.Methods})
	}
}

func (x routeIndex) remove(mesh string, h hostedRoute) {
	for _, key := range h.keys() {
		owners := slices.DeleteFunc(x[key], func(o routeOwner) bool { return o.mesh == mesh && o.name == h.route.Name })
		if x[key] = owners; len(owners) == 0 {
			delete(x, key)
		}
	}
}

// findConflict returns the first conflict of the routes with a route of another mesh, or
// nil.
func (x routeIndex) findConflict(mesh string, routes []hostedRoute) *routeConflict {
	for _, h := range routes {
		for _, key := range h.keys() {
			for _, o := range x[key] {
				if o.mesh != mesh && methodsOverlap(o.methods, h.route.Methods) {
					return &routeConflict{key: key, route: h.route.Name, otherMesh: o.mesh, otherRoute: o.name}
				}
			}
		}
	}
	return nil
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
