// Package snapshot compiles a fleet.State into the immutable form that answers
// requests. A daemon swaps one pointer to a Snapshot; a request keeps the one
// it began with. Compile either returns a whole snapshot or an error, never a
// part.
package snapshot

import (
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// ServiceKey names a service within the fleet.
type ServiceKey struct {
	Mesh, Name string
}

// String returns "mesh/name".
func (k ServiceKey) String() string { return k.Mesh + "/" + k.Name }

// Service is a compiled service.
type Service struct {
	manifest.Service
	Key   ServiceKey
	allow []netip.Prefix
}

// Allows reports whether a backend server at addr may serve s. A service
// without an allow list takes any server.
func (s *Service) Allows(addr netip.Addr) bool {
	if len(s.allow) == 0 {
		return true
	}
	return slices.ContainsFunc(s.allow, func(p netip.Prefix) bool { return p.Contains(addr) })
}

// Route is a compiled route.
type Route struct {
	manifest.Route
	Mesh string
	// Target is never nil: a route to a missing service does not compile.
	Target *Service
}

// Snapshot is one version, ready to answer requests.
type Snapshot struct {
	Version  uint64
	Hash     uint64
	services map[ServiceKey]*Service
	hosts    map[string]*table // "" is any host
}

// Compile builds the snapshot of a state.
func Compile(state *fleet.State) (*Snapshot, error) {
	s := &Snapshot{
		Version:  state.Version,
		Hash:     state.Hash(),
		services: map[ServiceKey]*Service{},
		hosts:    map[string]*table{},
	}
	for _, mesh := range state.Meshes() {
		m, err := state.Manifest(mesh)
		if err != nil {
			return nil, errors.Wrapf(err, "mesh %s", mesh)
		}
		if err := s.addMesh(m); err != nil {
			return nil, errors.Wrapf(err, "mesh %s", mesh)
		}
	}
	return s, nil
}

func (s *Snapshot) addMesh(m *manifest.Manifest) error {
	for _, v := range m.Services {
		service := &Service{Service: v, Key: ServiceKey{Mesh: m.Mesh, Name: v.Name}}
		for _, text := range v.Allow {
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				return errors.Wrapf(err, "service %s", v.Name)
			}
			service.allow = append(service.allow, prefix)
		}
		s.services[service.Key] = service
	}
	hosts := m.Hosts
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, v := range m.Routes {
		target, ok := s.services[ServiceKey{Mesh: m.Mesh, Name: v.Service}]
		if !ok {
			return errors.Newf("route %s: no service %s", v.Name, v.Service)
		}
		for _, host := range hosts {
			s.addRoute(cleanHost(host), &Route{Route: v, Mesh: m.Mesh, Target: target})
		}
	}
	return nil
}

func (s *Snapshot) addRoute(host string, r *Route) {
	t := s.hosts[host]
	if t == nil {
		t = &table{routes: map[string][]*Route{}}
		s.hosts[host] = t
	}
	t.add(r)
}

// Service returns a service, or nil.
func (s *Snapshot) Service(k ServiceKey) *Service { return s.services[k] }

// Services returns every service in no order.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.services))
	for _, v := range s.services {
		list = append(list, v)
	}
	return list
}
