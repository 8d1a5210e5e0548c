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
		index.move(mesh, routeMove{added: placesOf(m)})
	}
	return index, nil
}

// routePlace is a route with the hosts of its manifest.
type routePlace struct {
	hosts []string
	route *manifest.Route
}

func (p routePlace) keys() []routeKey {
	m := manifest.Manifest{Hosts: p.hosts}
	var keys []routeKey
	for _, host := range m.HostsOf(p.route) {
		keys = append(keys, routeKey{host: strings.ToLower(host), path: p.route.Path})
	}
	return keys
}

// routeMove is what a revision changes in the index.
type routeMove struct{ removed, added []routePlace }

// movedRoutes compares the routes that a revision names before and after it, or all of
// its mesh where it names all or gives them other hosts.
func movedRoutes(before, after *fleet.State, r *fleet.Revision) routeMove {
	header, _ := before.Mesh(r.Mesh)
	var move routeMove
	if r.Base == 0 || !slices.Equal(header.Hosts, r.Hosts) {
		move.removed = allRoutes(before, r.Mesh)
		move.added = allRoutes(after, r.Mesh)
		return move
	}
	for _, c := range r.Changes {
		if c.Key.Kind != fleet.KindRoute {
			continue
		}
		if old := before.Route(r.Mesh, c.Key.Name); old != nil {
			move.removed = append(move.removed, routePlace{header.Hosts, old})
		}
		if route := after.Route(r.Mesh, c.Key.Name); route != nil {
			move.added = append(move.added, routePlace{r.Hosts, route})
		}
	}
	return move
}

// allRoutes returns the routes of a mesh that can be read.
func allRoutes(state *fleet.State, mesh string) []routePlace {
	m, err := state.Manifest(mesh)
	if err != nil {
		return nil
	}
	return placesOf(m)
}

// placesOf returns the routes of a manifest with its hosts.
func placesOf(m *manifest.Manifest) []routePlace {
	places := make([]routePlace, len(m.Routes))
	for i := range m.Routes {
		places[i] = routePlace{m.Hosts, &m.Routes[i]}
	}
	return places
}

// move takes routes of a mesh out and puts others in.
func (x routeIndex) move(mesh string, move routeMove) {
	for _, p := range move.removed {
		x.remove(mesh, p)
	}
	for _, p := range move.added {
		x.add(mesh, p)
	}
}

func (x routeIndex) add(mesh string, p routePlace) {
	for _, key := range p.keys() {
		x[key] = append(x[key], routeOwner{mesh: mesh, name: p.route.Name, methods: p.route.Methods})
	}
}

func (x routeIndex) remove(mesh string, p routePlace) {
	for _, key := range p.keys() {
		owners := slices.DeleteFunc(x[key], func(o routeOwner) bool { return o.mesh == mesh && o.name == p.route.Name })
		if x[key] = owners; len(owners) == 0 {
			delete(x, key)
		}
	}
}

// clash returns the first of the routes that another mesh has already, or nil.
func (x routeIndex) clash(mesh string, routes []routePlace) *routeClash {
	for _, p := range routes {
		for _, key := range p.keys() {
			for _, o := range x[key] {
				if o.mesh != mesh && overlap(o.methods, p.route.Methods) {
					return &routeClash{key: key, route: p.route.Name, mesh: o.mesh, other: o.name}
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
