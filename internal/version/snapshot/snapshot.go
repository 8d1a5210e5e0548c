// Package snapshot compiles a fleet.State into the immutable form that answers
// requests. A daemon swaps one pointer to a Snapshot; a request keeps the one
// it began with. Compile either returns a whole snapshot or an error, never a
// part.
package snapshot

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"
	"time"

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
	// raw is the resource that it was compiled from.
	raw []byte
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
	// Targets is never empty: a route to a missing service does not compile.
	Targets []Target
	// Weight is the sum of the weights of Targets, above 0.
	Weight uint64
	// Limits are those of the route's mesh.
	Limits manifest.Limits
	hosts  []string
	// raw is the resource that it was compiled from.
	raw []byte
}

// Target is one service that a route leads to.
type Target struct {
	Service *Service
	Weight  uint64
}

// Pick returns the service for one request; draw is a random number.
func (r *Route) Pick(draw uint64) *Service {
	at := draw % r.Weight
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

// Snapshot is one version, ready to answer requests.
type Snapshot struct {
	Version  uint64
	Hash     uint64
	services map[ServiceKey]*Service
	hosts    map[string]*table // "" is any host
	// parts are the meshes by name, for the compilation of the next version.
	parts map[string]*part
	// rollouts are those of the services whose software versions are known.
	rollouts map[ServiceKey]*fleet.Rollout
}

// part is one compiled mesh. It is immutable and shared between versions.
type part struct {
	header   fleet.MeshHeader
	services map[ServiceKey]*Service
	// routes are in the order of their names.
	routes []*Route
}

// Compile builds the snapshot of a state.
func Compile(state *fleet.State) (*Snapshot, error) { return CompileAfter(nil, state) }

// CompileAfter builds the snapshot of a state and takes what did not change
// from the one before it: services and routes whose resources are the same are
// not decoded again, which is most of the work where one route of many changes.
func CompileAfter(previous *Snapshot, state *fleet.State) (*Snapshot, error) {
	s := &Snapshot{
		Version:  state.Version,
		Hash:     state.Hash(),
		services: map[ServiceKey]*Service{},
		hosts:    map[string]*table{},
		parts:    map[string]*part{},
		rollouts: map[ServiceKey]*fleet.Rollout{},
	}
	for _, mesh := range state.Meshes() {
		compiled, err := compileMesh(previous, state, mesh)
		if err != nil {
			return nil, errors.Wrapf(err, "mesh %s", mesh)
		}
		s.add(mesh, compiled)
		if err := s.addRollouts(state, mesh); err != nil {
			return nil, errors.Wrapf(err, "mesh %s", mesh)
		}
	}
	return s, nil
}

// compileMesh takes what it can from the part of the mesh in the snapshot before.
func compileMesh(previous *Snapshot, state *fleet.State, mesh string) (*part, error) {
	header, known := state.Mesh(mesh)
	if !known {
		return nil, errors.New("unreadable header")
	}
	var old *part
	if previous != nil {
		old = previous.parts[mesh]
	}
	if old != nil && old.header.Fleet == header.Fleet && old.header.Content == header.Content {
		return old, nil
	}
	if old == nil {
		old = &part{}
	}
	p := &part{header: header, services: make(map[ServiceKey]*Service, len(old.services))}
	if err := p.compileServices(old, state, mesh); err != nil {
		return nil, err
	}
	return p, p.compileRoutes(old, state, mesh)
}

func (p *part) compileServices(old *part, state *fleet.State, mesh string) (failed error) {
	state.EachOf(mesh, fleet.KindService, func(k fleet.Key, raw []byte) {
		key := ServiceKey{Mesh: mesh, Name: k.Name}
		if same := old.services[key]; same != nil && bytes.Equal(same.raw, raw) {
			p.services[key] = same
			return
		}
		v, err := fleet.DecodeService(raw)
		if err == nil {
			err = p.addService(mesh, v, raw)
		}
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "service %s", k.Name))
		}
	})
	return failed
}

func (p *part) compileRoutes(old *part, state *fleet.State, mesh string) (failed error) {
	m := &manifest.Manifest{Mesh: mesh, Hosts: p.header.Hosts, Limits: p.header.Limits}
	shares := slices.Equal(old.header.Hosts, m.Hosts) && old.header.Limits == m.Limits
	p.routes = make([]*Route, 0, len(old.routes))
	rest := old.routes
	state.EachOf(mesh, fleet.KindRoute, func(k fleet.Key, raw []byte) {
		for len(rest) > 0 && rest[0].Name < k.Name {
			rest = rest[1:]
		}
		same := len(rest) > 0 && bytes.Equal(rest[0].raw, raw)
		if same && shares && p.holds(rest[0]) {
			p.routes = append(p.routes, rest[0])
			return
		}
		var v manifest.Route
		var err error
		if same {
			// Only what the route has of its mesh is new.
			v = rest[0].Route
		} else {
			v, err = fleet.DecodeRoute(raw)
		}
		if err == nil {
			err = p.addRoute(m, v, raw)
		}
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "route %s", k.Name))
		}
	})
	return failed
}

// holds reports whether a compiled route leads to this part's own services.
func (p *part) holds(r *Route) bool {
	for _, t := range r.Targets {
		if p.services[t.Service.Key] != t.Service {
			return false
		}
	}
	return true
}

// Check reports why no daemon could put m in force, or nil.
func Check(m *manifest.Manifest) error {
	_, err := newPart(m)
	return err
}

// newPart compiles a manifest alone.
func newPart(m *manifest.Manifest) (*part, error) {
	p := &part{services: make(map[ServiceKey]*Service, len(m.Services))}
	for _, v := range m.Services {
		if err := p.addService(m.Mesh, v, nil); err != nil {
			return nil, errors.Wrapf(err, "service %s", v.Name)
		}
	}
	for _, v := range m.Routes {
		if err := p.addRoute(m, v, nil); err != nil {
			return nil, errors.Wrapf(err, "route %s", v.Name)
		}
	}
	return p, nil
}

func (p *part) addService(mesh string, v manifest.Service, raw []byte) error {
	service := &Service{Service: v, Key: ServiceKey{Mesh: mesh, Name: v.Name}, raw: raw}
	for _, text := range v.Allow {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return err
		}
		service.allow = append(service.allow, prefix)
	}
	p.services[service.Key] = service
	return nil
}

// addRoute joins a route to its services.
func (p *part) addRoute(m *manifest.Manifest, v manifest.Route, raw []byte) error {
	r := &Route{Route: v, Mesh: m.Mesh, Limits: m.Limits, hosts: m.HostsOf(&v), raw: raw}
	shares := v.Split
	if len(shares) == 0 {
		shares = []manifest.Share{{Service: v.Service, Weight: 1}}
	}
	for _, share := range shares {
		service, ok := p.services[ServiceKey{Mesh: m.Mesh, Name: share.Service}]
		if !ok {
			return errors.Newf("no service %s", share.Service)
		}
		if share.Weight < 0 {
			return errors.Newf("weight %d of service %s", share.Weight, share.Service)
		}
		r.Targets = append(r.Targets, Target{Service: service, Weight: uint64(share.Weight)})
		r.Weight += uint64(share.Weight)
	}
	if r.Weight == 0 {
		return errors.New("no weight above 0")
	}
	p.routes = append(p.routes, r)
	return nil
}

func (s *Snapshot) add(mesh string, p *part) {
	s.parts[mesh] = p
	maps.Copy(s.services, p.services)
	for _, r := range p.routes {
		for _, host := range r.hosts {
			s.addRoute(cleanHost(host), r)
		}
	}
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

// LongestTimeout is the longest that a route to a service lets a request take.
func (s *Snapshot) LongestTimeout(k ServiceKey) time.Duration {
	var longest time.Duration
	for _, p := range s.parts {
		for _, r := range p.routes {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service.Key == k }) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}
