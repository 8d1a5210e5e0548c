// Package manifest parses and validates the operators' manifest: the complete
// desired configuration of one mesh, in strict YAML. A *Manifest that Parse
// returns without an error is complete and has no dangling references.
package manifest

import "time"

// Manifest is the desired state of one mesh.
type Manifest struct {
	// Mesh is the name of the mesh. Names of services and routes are unique
	// within it.
	Mesh string `yaml:"mesh" cbor:"1,keyasint"`
	// Version is set by the operators and must increase with each change.
	Version uint64 `yaml:"version" cbor:"2,keyasint"`
	// Hosts are the host names that this mesh serves; empty means every host.
	Hosts []string `yaml:"hosts" cbor:"3,keyasint,omitempty"`
	// Services are the services that backend servers run.
	Services []Service `yaml:"services" cbor:"4,keyasint"`
	// Routes map requests to services.
	Routes []Route `yaml:"routes" cbor:"5,keyasint"`
	// Limits restrict what callers may send.
	Limits Limits `yaml:"limits" cbor:"6,keyasint,omitempty"`
	// Organisations are the groups of callers that may send requests. If there are any,
	// requests need an API key of one of them, except on routes with Keyless. Without
	// organisations, no route needs a key.
	Organisations []Organisation `yaml:"organisations" cbor:"7,keyasint,omitempty"`
	// LoadSharing selects whether the daemons share what they know about the load of the
	// mesh's backend servers: LoadSharingOn, LoadSharingOff or LoadSharingAuto. Default
	// LoadSharingAuto.
	LoadSharing string `yaml:"load_sharing" cbor:"8,keyasint,omitempty"`
}

// Values of Manifest.LoadSharing.
const (
	// LoadSharingAuto shares load if the mesh has at least MinSharingServices services and no
	// organisation of it has a limit: under load sharing more of a surge is served before the
	// limits take effect, and a limit may be exceeded.
	LoadSharingAuto = "auto"
	LoadSharingOn   = "on"
	LoadSharingOff  = "off"
)

// MinSharingServices is the number of services from which LoadSharingAuto shares load: one service
// whose runs call another is enough for runs to fail because the other is short of room.
const MinSharingServices = 2

// SharesLoad reports whether daemons share the load of a mesh with the given number of
// services. limited is set if any organisation has a limit.
func SharesLoad(loadSharing string, services int, limited bool) bool {
	switch loadSharing {
	case LoadSharingOn:
		return true
	case LoadSharingOff:
		return false
	}
	return services >= MinSharingServices && !limited
}

// Limits restrict what callers of a mesh may send. A limit of 0 adds no
// restriction to those in the daemon's settings.
type Limits struct {
	// HeaderBytes is the maximum size of a request's header.
	HeaderBytes int `yaml:"header_bytes" cbor:"1,keyasint,omitempty"`
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64 `yaml:"body_bytes" cbor:"2,keyasint,omitempty"`
	// HeaderTimeout limits the time to read a request's header.
	HeaderTimeout time.Duration `yaml:"header_timeout" cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration `yaml:"idle_timeout" cbor:"4,keyasint,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// Allow lists the address prefixes from which backend servers may serve
	// the service; empty allows any address.
	Allow []string `yaml:"allow" cbor:"2,keyasint"`
	// Slots is the maximum number of concurrent requests per backend server.
	// The effective limit is the smaller of this and what the server announces;
	// 0 leaves it to the announcement.
	Slots int `yaml:"slots" cbor:"3,keyasint,omitempty"`
	// Connections is the maximum number of connections to one backend server,
	// combined with the announced limit as for Slots.
	Connections int `yaml:"connections" cbor:"4,keyasint,omitempty"`
	// SlowStart is the time over which a new backend server ramps up to its
	// full share of requests. Default 0s: no ramp-up.
	SlowStart time.Duration `yaml:"slow_start" cbor:"5,keyasint,omitempty"`
	// Health is the path of the health check at which a backend server reports
	// whether it accepts requests; empty if there is none.
	Health string `yaml:"health" cbor:"6,keyasint,omitempty"`
}

// Route sends requests to a service.
type Route struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// Hosts are the host names that this route serves; empty means those of
	// the manifest.
	Hosts []string `yaml:"hosts" cbor:"9,keyasint,omitempty"`
	// Path is a path prefix that matches at segment boundaries; the longest
	// match wins.
	Path string `yaml:"path" cbor:"2,keyasint"`
	// Methods are the HTTP methods that match; empty means every method.
	Methods []string `yaml:"methods" cbor:"3,keyasint,omitempty"`
	// Service receives the requests of this route, unless Split is set.
	Service string `yaml:"service" cbor:"4,keyasint,omitempty"`
	// Split distributes the requests of this route among services by weight,
	// even while one of them is at capacity.
	Split []Share `yaml:"split" cbor:"10,keyasint,omitempty"`
	// Timeout is the maximum time from the arrival of a request to the last
	// byte of its response header. Default 10s.
	Timeout time.Duration `yaml:"timeout" cbor:"5,keyasint"`
	// Repeatable marks requests as idempotent: they may run more than once.
	// Default false: no request runs twice unless the operator allows it.
	Repeatable bool `yaml:"repeatable" cbor:"6,keyasint,omitempty"`
	// Retries is the maximum number of further attempts after an attempt that
	// reached a backend server. Default 2.
	Retries int `yaml:"retries" cbor:"7,keyasint"`
	// Priority orders queued requests, from 0 (first) to 9 (last). Default 5.
	Priority int `yaml:"priority" cbor:"8,keyasint"`
	// Target is the desired response time; 0 if there is none. While the service
	// is at capacity, a request waits for a slot only as long as a response
	// within Target is still possible.
	Target time.Duration `yaml:"target" cbor:"11,keyasint,omitempty"`
	// Upload marks routes with large request bodies. They are never repeatable.
	Upload bool `yaml:"upload" cbor:"12,keyasint,omitempty"`
	// Download marks routes with large responses. They are always repeatable.
	Download bool `yaml:"download" cbor:"13,keyasint,omitempty"`
	// Keyless marks routes that accept requests without an API key.
	Keyless bool `yaml:"keyless" cbor:"14,keyasint,omitempty"`
}

// Share is the fraction of a route's requests that one service receives.
type Share struct {
	Service string `yaml:"service" cbor:"1,keyasint"`
	// Weight is relative to the sum of all weights of the route.
	Weight int `yaml:"weight" cbor:"2,keyasint"`
}

// The default values of a Route.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultRetries  = 2
	DefaultPriority = 5
	// LowestPriority is the largest priority value; lower values come first.
	LowestPriority = 9
)

// SetDefaults implements strictyaml.Defaulter.
func (r *Route) SetDefaults() {
	*r = Route{Timeout: DefaultTimeout, Retries: DefaultRetries, Priority: DefaultPriority}
}
