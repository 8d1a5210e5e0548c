// Package manifest reads the operators' manifest: the whole intent for one
// mesh, in strict YAML. Parse is the only way in; a *Manifest that it returns
// without an error is whole and free of dangling references.
package manifest

import "time"

// Manifest is the desired state of one mesh.
type Manifest struct {
	// Mesh names the mesh; services and routes are unique within it.
	Mesh string `yaml:"mesh" cbor:"1,keyasint"`
	// Version is the operators' own number; it only goes up.
	Version uint64 `yaml:"version" cbor:"2,keyasint"`
	// Hosts are the host names whose requests belong to this mesh; empty
	// means every host.
	Hosts []string `yaml:"hosts" cbor:"3,keyasint,omitempty"`
	// Services are served by backend servers.
	Services []Service `yaml:"services" cbor:"4,keyasint"`
	// Routes say which service answers which requests.
	Routes []Route `yaml:"routes" cbor:"5,keyasint"`
	// Limits bound what callers may send.
	Limits Limits `yaml:"limits" cbor:"6,keyasint,omitempty"`
}

// Limits bound what callers of a mesh may send. Each is 0 for no bound beyond
// those of the daemon's settings.
type Limits struct {
	// HeaderBytes is the most header bytes of one request.
	HeaderBytes int `yaml:"header_bytes" cbor:"1,keyasint,omitempty"`
	// BodyBytes is the most body bytes of one request.
	BodyBytes int64 `yaml:"body_bytes" cbor:"2,keyasint,omitempty"`
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration `yaml:"header_timeout" cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a caller's connection may be idle.
	IdleTimeout time.Duration `yaml:"idle_timeout" cbor:"4,keyasint,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// Allow lists the address prefixes whose backend servers may serve it.
	Allow []string `yaml:"allow" cbor:"2,keyasint"`
	// Slots is the most requests that run on one backend server at a time,
	// whatever it announces; 0 leaves it to the announcement.
	Slots int `yaml:"slots" cbor:"3,keyasint,omitempty"`
	// Connections is the most connections to one backend server; 0 leaves it
	// to the announcement.
	Connections int `yaml:"connections" cbor:"4,keyasint,omitempty"`
	// SlowStart is how long a new backend server takes to ramp up to its full
	// share. Default 0s: at once.
	SlowStart time.Duration `yaml:"slow_start" cbor:"5,keyasint,omitempty"`
	// Health is the path at which a backend server tells whether it takes work;
	// empty if there is none.
	Health string `yaml:"health" cbor:"6,keyasint,omitempty"`
}

// Route sends requests to a service.
type Route struct {
	Name string `yaml:"name" cbor:"1,keyasint"`
	// Hosts are the host names of this route alone; empty means those of the
	// manifest.
	Hosts []string `yaml:"hosts" cbor:"9,keyasint,omitempty"`
	// Path is a path prefix on segment borders; the longest match wins.
	Path string `yaml:"path" cbor:"2,keyasint"`
	// Methods restricts the route; empty means every method.
	Methods []string `yaml:"methods" cbor:"3,keyasint,omitempty"`
	// Service answers the requests of this route, unless Split is set.
	Service string `yaml:"service" cbor:"4,keyasint,omitempty"`
	// Split divides the requests of this route among services by weight, also
	// while one of them is short of room.
	Split []Share `yaml:"split" cbor:"10,keyasint,omitempty"`
	// Timeout bounds a request from its arrival to its last byte of header.
	// Default 10s.
	Timeout time.Duration `yaml:"timeout" cbor:"5,keyasint"`
	// Repeatable marks requests that may run more than once (idempotent).
	// Default: false; nothing is run twice unless the operator says so.
	Repeatable bool `yaml:"repeatable" cbor:"6,keyasint,omitempty"`
	// Retries is the most further attempts of one request after one that a backend
	// server has seen. Default 2.
	Retries int `yaml:"retries" cbor:"7,keyasint"`
	// Priority orders waiting requests, 0 (first) to 9 (last). Default 5.
	Priority int `yaml:"priority" cbor:"8,keyasint"`
	// Target is the time within which an answer is worth most; 0 is not known.
	// A request waits for a slot no longer than it takes to answer within it, as
	// long as the service is full.
	Target time.Duration `yaml:"target" cbor:"11,keyasint,omitempty"`
	// Upload marks routes whose bodies are large. They are never repeatable.
	Upload bool `yaml:"upload" cbor:"12,keyasint,omitempty"`
	// Download marks routes whose answers are large. They are always repeatable.
	Download bool `yaml:"download" cbor:"13,keyasint,omitempty"`
}

// Share is one service's part of the requests of a route.
type Share struct {
	Service string `yaml:"service" cbor:"1,keyasint"`
	// Weight is the part, in proportion to the sum of all weights of the route.
	Weight int `yaml:"weight" cbor:"2,keyasint"`
}

// Defaults of a route.
const (
	DefaultTimeout  = 10 * time.Second
	DefaultRetries  = 2
	DefaultPriority = 5
	// LowestPriority is the largest priority number.
	LowestPriority = 9
)

// SetDefaults sets the documented defaults, before the keys are read.
func (r *Route) SetDefaults() {
	*r = Route{Timeout: DefaultTimeout, Retries: DefaultRetries, Priority: DefaultPriority}
}
