package main

// The names of the platform's protocol.
const (
	headerID        = "Request-Id"
	headerDeadline  = "Request-Deadline"
	headerInstance  = "Expected-Instance"
	headerOrigin    = "Caller-Service"
	headerNotRun    = "Not-Executed"
	headerSignature = "Response-Signature"
	headerBase      = "If-Match"
	headerServes    = "Instance-Id"
	headerLoad      = "Server-Load"
	headerLimit     = "Server-Limit"
	headerLeaving   = "Server-Leaving"
	headerResult    = "Daisygate-Result"
	headerOutcome   = "Daisygate-Outcome"
	// outcomeNotRun is the outcome of a request that certainly was not executed.
	outcomeNotRun = "not-run"
	controlPath   = "/daisygate/rpc?call="
	callReplace   = "configuration.replace"
	callRead      = "configuration.read"
	callReport    = "instances.heartbeat&of="
	callLeave     = "instances.deregister&of="
	healthPath    = "/health"
)

// configuration is the configuration document that operators send.
type configuration struct {
	Version  string           `json:"version"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Hosts    []virtualHost    `json:"virtual_hosts"`
	Tenants  []map[string]any `json:"tenants,omitempty"`
}

type virtualHost struct {
	Host   string  `json:"host"`
	Routes []route `json:"route_paths"`
}

type route struct {
	Name     string `json:"name"`
	Prefix   string `json:"path_prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
	// Keyless routes need no key of an organisation.
	Keyless bool `json:"allow_anonymous"`
}

const (
	host     = "soak.example"
	apiKey   = "soak-key-of-all-callers-0123456789"
	serviceA = "alpha"
	serviceB = "beta"
	// serviceC has neither routes nor servers. With it the mesh has enough services to share load.
	serviceC = "gamma"
	// pathCalled is the path of the route that service A calls while it executes a request.
	pathCalled = "/called/"
	// The path prefixes of the routes; the version decides which service pathMoving routes to.
	pathSafe   = "/safe/"
	pathUnsafe = "/unsafe/"
	pathUpload = "/upload/"
	pathMoving = "/moving/"
)

// configurationOf returns the configuration of a version.
func configurationOf(version uint64, moving string, sharesLoad bool) configuration {
	services := func(name string) map[string]any {
		return map[string]any{"name": name, "health_check_path": healthPath, "connection_limit": 200, "protocol": "h1", "tls": false}
	}
	r := func(name, prefix, kind, service string, attempts int) route {
		return route{Name: name, Prefix: prefix, Kind: kind, Timeout: 2000, Target: 500, Priority: 1, Service: service, Attempts: attempts, Keyless: prefix == pathCalled}
	}
	names := []map[string]any{services(serviceA), services(serviceB)}
	if sharesLoad {
		names = append(names, services(serviceC))
	}
	return configuration{
		Version:  versionText(version),
		Services: names,
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Hosts: []virtualHost{{Host: host, Routes: []route{
			r("safe", pathSafe, "safe", serviceA, 2), r("unsafe", pathUnsafe, "unsafe", serviceA, 2),
			r("upload", pathUpload, "upload", serviceB, 2), r("moving", pathMoving, "unsafe", moving, 2),
			r("called", pathCalled, "safe", serviceB, 2),
		}}},
	}
}
