// Package snapshot compiles a fleet.State into an immutable form for routing
// requests. A daemon replaces its Snapshot by swapping one pointer; a request uses
// the same Snapshot from start to end. Compile returns either a complete snapshot
// or an error.
package snapshot

import (
	"bytes"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// ServiceKey identifies a service within the fleet.
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
	// raw is the encoded resource that the service was compiled from.
	raw []byte
}

// Allows reports whether a backend server at addr may serve s. A service
// without an allow list accepts any address.
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
	// Targets is never empty: compiling a route to a missing service fails.
	Targets []Target
	// Weight is the sum of the weights of Targets. It is above 0.
	Weight uint64
	// TargetsHash identifies the services of Targets, without their weights. It is never 0.
	TargetsHash uint32
	// Limits are the limits of the route's mesh.
	Limits manifest.Limits
	hosts  []string
	// raw is the encoded resource that the route was compiled from.
	raw []byte
}

// Target is one service that a route sends requests to.
type Target struct {
	Service *Service
	Weight  uint64
}

// Pick returns the service for one request, chosen by weight with the given random
// number.
func (r *Route) Pick(random uint64) *Service {
	rest := random % r.Weight
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[0].Service
}

// Snapshot is the compiled configuration of one fleet version.
type Snapshot struct {
	Version  uint64
	Hash     uint64
	services map[ServiceKey]*Service
	hosts    map[string]*routeTable // "" is any host
	// meshes maps names to compiled meshes, for reuse when the next version is compiled.
	meshes map[string]*compiledMesh
	// rollouts has an entry for each service whose software versions are known.
	rollouts map[ServiceKey]*fleet.Rollout
	// headerBytes is the largest header limit of the meshes, or 0 if one has none.
	headerBytes int
}

// HeaderBytes returns the largest size of a request's header that a mesh allows. It is 0 if a mesh
// does not limit it, if there is no mesh, or on nil.
func (s *Snapshot) HeaderBytes() int {
	if s == nil {
		return 0
	}
	return s.headerBytes
}

// largestHeader returns the value of headerBytes.
func (s *Snapshot) largestHeader() (largest int) {
	for _, m := range s.meshes {
		if m.header.Limits.HeaderBytes == 0 {
			return 0
		}
		largest = max(largest, m.header.Limits.HeaderBytes)
	}
	return largest
}

// compiledMesh is one compiled mesh. It is immutable and shared between versions.
type compiledMesh struct {
	header   fleet.MeshHeader
	services map[ServiceKey]*Service
	// routes are sorted by name.
	routes  []*Route
	keyring *keyring
}

// Compile builds the snapshot of a state.
func Compile(state *fleet.State) (*Snapshot, error) { return CompileAfter(nil, state) }

// CompileAfter builds the snapshot of a state and reuses unchanged parts of the
// previous snapshot: services and routes with the same resource are not decoded
// again, which saves most of the work if one of many routes changes.
func CompileAfter(previous *Snapshot, state *fleet.State) (*Snapshot, error) {
	s := &Snapshot{
		Version:  state.Version,
		Hash:     state.Hash(),
		services: map[ServiceKey]*Service{},
		hosts:    map[string]*routeTable{},
		meshes:   map[string]*compiledMesh{},
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
	s.headerBytes = s.largestHeader()
	return s, nil
}

// compileMesh compiles one mesh and reuses unchanged parts of the previous snapshot.
func compileMesh(previous *Snapshot, state *fleet.State, mesh string) (*compiledMesh, error) {
	header, ok := state.Mesh(mesh)
	if !ok {
		return nil, errors.New("cannot decode mesh header")
	}
	var old *compiledMesh
	if previous != nil {
		old = previous.meshes[mesh]
	}
	if old != nil && old.header.FleetVersion == header.FleetVersion && old.header.Content == header.Content {
		return old, nil
	}
	if old == nil {
		old = &compiledMesh{keyring: newKeyring()}
	}
	c := &compiledMesh{header: header, services: make(map[ServiceKey]*Service, len(old.services))}
	if err := c.compileServices(old, state, mesh); err != nil {
		return nil, err
	}
	var err error
	if c.keyring, err = compileKeyring(old.keyring, state, mesh); err != nil {
		return nil, err
	}
	return c, c.compileRoutes(old, state, mesh)
}

func (c *compiledMesh) compileServices(old *compiledMesh, state *fleet.State, mesh string) (failed error) {
	state.EachOf(mesh, fleet.KindService, func(k fleet.Key, raw []byte) {
		key := ServiceKey{Mesh: mesh, Name: k.Name}
		if reused := old.services[key]; reused != nil && bytes.Equal(reused.raw, raw) {
			c.services[key] = reused
			return
		}
		v, err := fleet.DecodeService(raw)
		if err == nil {
			err = c.addService(mesh, v, raw)
		}
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "service %s", k.Name))
		}
	})
	return failed
}

func (c *compiledMesh) compileRoutes(old *compiledMesh, state *fleet.State, mesh string) (failed error) {
	m := &manifest.Manifest{Mesh: mesh, Hosts: c.header.Hosts, Limits: c.header.Limits}
	sameHeader := slices.Equal(old.header.Hosts, m.Hosts) && old.header.Limits == m.Limits
	c.routes = make([]*Route, 0, len(old.routes))
	rest := old.routes
	state.EachOf(mesh, fleet.KindRoute, func(k fleet.Key, raw []byte) {
		for len(rest) > 0 && rest[0].Name < k.Name {
			rest = rest[1:]
		}
		sameRoute := len(rest) > 0 && bytes.Equal(rest[0].raw, raw)
		if sameRoute && sameHeader && c.ownsTargets(rest[0]) {
			c.routes = append(c.routes, rest[0])
			return
		}
		var v manifest.Route
		var err error
		if sameRoute {
			// The route is unchanged; only hosts, limits or services of its mesh differ.
			v = rest[0].Route
		} else {
			v, err = fleet.DecodeRoute(raw)
		}
		if err == nil {
			err = c.addRoute(m, v, raw)
		}
		if err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "route %s", k.Name))
		}
	})
	return failed
}

// ownsTargets reports whether all targets of a compiled route point to services of c.
func (c *compiledMesh) ownsTargets(r *Route) bool {
	for _, t := range r.Targets {
		if c.services[t.Service.Key] != t.Service {
			return false
		}
	}
	return true
}

// Check returns an error if m cannot be compiled, so that no daemon could apply it.
func Check(m *manifest.Manifest) error {
	_, err := compileManifest(m)
	return err
}

// compileManifest compiles a manifest without a fleet.State.
func compileManifest(m *manifest.Manifest) (*compiledMesh, error) {
	c := &compiledMesh{services: make(map[ServiceKey]*Service, len(m.Services)), keyring: newKeyring()}
	for _, v := range m.Services {
		if err := c.addService(m.Mesh, v, nil); err != nil {
			return nil, errors.Wrapf(err, "service %s", v.Name)
		}
	}
	for _, v := range m.Routes {
		if err := c.addRoute(m, v, nil); err != nil {
			return nil, errors.Wrapf(err, "route %s", v.Name)
		}
	}
	for _, v := range m.Organisations {
		if err := c.keyring.add(v, nil); err != nil {
			return nil, errors.Wrapf(err, "organisation %s", v.Name)
		}
	}
	return c, nil
}

func (c *compiledMesh) addService(mesh string, v manifest.Service, raw []byte) error {
	service := &Service{Service: v, Key: ServiceKey{Mesh: mesh, Name: v.Name}, raw: raw}
	for _, text := range v.Allow {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			return err
		}
		service.allow = append(service.allow, prefix)
	}
	c.services[service.Key] = service
	return nil
}

// addRoute compiles a route and resolves its target services.
func (c *compiledMesh) addRoute(m *manifest.Manifest, v manifest.Route, raw []byte) error {
	r := &Route{Route: v, Mesh: m.Mesh, Limits: m.Limits, hosts: m.HostsOf(&v), raw: raw}
	shares := v.Split
	if len(shares) == 0 {
		shares = []manifest.Share{{Service: v.Service, Weight: 1}}
	}
	for _, share := range shares {
		service, ok := c.services[ServiceKey{Mesh: m.Mesh, Name: share.Service}]
		if !ok {
			return errors.Newf("no service %s", share.Service)
		}
		if share.Weight < 0 {
			return errors.Newf("negative weight %d of service %s", share.Weight, share.Service)
		}
		r.Targets = append(r.Targets, Target{Service: service, Weight: uint64(share.Weight)})
		r.Weight += uint64(share.Weight)
	}
	if r.Weight == 0 {
		return errors.New("no weight above 0")
	}
	r.TargetsHash = hashTargets(r.Targets)
	c.routes = append(c.routes, r)
	return nil
}

func hashTargets(targets []Target) uint32 {
	h := fnv.New32a()
	for _, t := range targets {
		_, _ = h.Write([]byte(t.Service.Key.Mesh + "\n" + t.Service.Key.Name + "\n"))
	}
	return max(h.Sum32(), 1)
}

func (s *Snapshot) add(mesh string, c *compiledMesh) {
	s.meshes[mesh] = c
	maps.Copy(s.services, c.services)
	for _, r := range c.routes {
		for _, host := range r.hosts {
			s.addRoute(normalizeHost(host), r)
		}
	}
}

func (s *Snapshot) addRoute(host string, r *Route) {
	t := s.hosts[host]
	if t == nil {
		t = &routeTable{routes: map[string][]*Route{}}
		s.hosts[host] = t
	}
	t.add(r)
}

// SharesLoad reports whether the daemons share the load of a mesh's backend servers.
func (s *Snapshot) SharesLoad(mesh string) bool {
	c := s.meshes[mesh]
	return c != nil && manifest.SharesLoad(c.header.LoadSharing, len(c.services), c.keyring.limited)
}

// Service returns a service, or nil if there is none.
func (s *Snapshot) Service(k ServiceKey) *Service { return s.services[k] }

// Services returns all services in unspecified order.
func (s *Snapshot) Services() []*Service {
	list := make([]*Service, 0, len(s.services))
	for _, v := range s.services {
		list = append(list, v)
	}
	return list
}

// LongestTimeout returns the longest timeout of all routes to a service.
func (s *Snapshot) LongestTimeout(k ServiceKey) time.Duration {
	var longest time.Duration
	for _, c := range s.meshes {
		for _, r := range c.routes {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service.Key == k }) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}
