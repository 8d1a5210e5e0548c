package manifest

import (
	"fmt"
	"net/http"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/strictyaml"
)

// The bounds of a manifest.
const (
	MaxHosts       = 256
	MaxServices    = 2000
	MaxRoutes      = 10000
	MaxPrefixes    = 256
	MaxSlots       = 100000
	MaxConnections = 1000000
	MaxRetries     = 10
	MaxPathBytes   = 512
	MaxHostBytes   = 253
	MaxTimeout     = 24 * time.Hour
	MaxSlowStart   = time.Hour
	MaxShares      = 64
	MaxWeight      = 1000000
	MaxRouteHosts  = 64
	maxLimitBytes  = 1 << 40
)

// methods are the methods that a route may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// check reports everything that is wrong with m beyond its form.
func (m *Manifest) check(d *strictyaml.Document) {
	d.Name("mesh", m.Mesh)
	if m.Version == 0 {
		d.Add("version", "want 1 or more; it goes up with each change")
	}
	m.checkHosts(d)
	d.Count("services", len(m.Services), MaxServices)
	var names strictyaml.Unique
	for i := range m.Services {
		key := fmt.Sprintf("services[%d]", i)
		names.Check(d, key+".name", m.Services[i].Name)
		m.Services[i].check(d, key)
	}
	m.checkRoutes(d)
	m.Limits.check(d)
}

func (l *Limits) check(d *strictyaml.Document) {
	strictyaml.Range(d, "limits.header_bytes", l.HeaderBytes, 0, maxLimitBytes)
	strictyaml.Range(d, "limits.body_bytes", l.BodyBytes, 0, maxLimitBytes)
	d.Duration("limits.header_timeout", l.HeaderTimeout, 0, MaxTimeout)
	d.Duration("limits.idle_timeout", l.IdleTimeout, 0, MaxTimeout)
}

func (m *Manifest) checkHosts(d *strictyaml.Document) {
	d.Count("hosts", len(m.Hosts), MaxHosts)
	var seen strictyaml.Unique
	for i, host := range m.Hosts {
		key := fmt.Sprintf("hosts[%d]", i)
		seen.Check(d, key, host)
		checkHost(d, key, host)
	}
}

func checkHost(d *strictyaml.Document, key, host string) {
	switch {
	case !d.Required(key, host):
	case len(host) > MaxHostBytes:
		d.Add(key, "has %d bytes, want at most %d", len(host), MaxHostBytes)
	case host != strings.ToLower(host):
		d.Add(key, "want lower case; did you mean %q?", strings.ToLower(host))
	case strings.HasSuffix(host, "."):
		d.Add(key, "want no dot at the end; did you mean %q?", strings.TrimRight(host, "."))
	case isIP(host):
	case strings.ContainsAny(host, "/*:[] "):
		d.Add(key, "want a plain host name without scheme, port or wildcard, got %q", host)
	}
}

func isIP(host string) bool {
	_, err := netip.ParseAddr(host)
	return err == nil
}

func (s *Service) check(d *strictyaml.Document, key string) {
	d.Name(key+".name", s.Name)
	d.Count(key+".allow", len(s.Allow), MaxPrefixes)
	var prefixes strictyaml.Unique
	for i, prefix := range s.Allow {
		at := fmt.Sprintf("%s.allow[%d]", key, i)
		prefixes.Check(d, at, prefix)
		d.Prefix(at, prefix)
	}
	strictyaml.Range(d, key+".slots", s.Slots, 0, MaxSlots)
	strictyaml.Range(d, key+".connections", s.Connections, 0, MaxConnections)
	if s.Connections > 0 && s.Connections < s.Slots {
		d.Add(key+".connections", "want at least the %d slots, got %d", s.Slots, s.Connections)
	}
	if s.Health != "" {
		checkPath(d, key+".health", s.Health)
	}
	d.Duration(key+".slow_start", s.SlowStart, 0, MaxSlowStart)
}

func (m *Manifest) checkRoutes(d *strictyaml.Document) {
	d.Count("routes", len(m.Routes), MaxRoutes)
	services := make([]string, len(m.Services))
	for i, s := range m.Services {
		services[i] = s.Name
	}
	var names strictyaml.Unique
	overlap := overlaps{}
	for i := range m.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		route := &m.Routes[i]
		names.Check(d, key+".name", route.Name)
		route.check(d, key)
		route.checkServices(d, key, services)
		overlap.check(d, key, route, m.HostsOf(route))
	}
}

// HostsOf returns the host names of a route; "" stands for every host.
func (m *Manifest) HostsOf(r *Route) []string {
	switch {
	case len(r.Hosts) > 0:
		return r.Hosts
	case len(m.Hosts) > 0:
		return m.Hosts
	}
	return []string{""}
}

// checkServices wants a service or a split, not both.
func (r *Route) checkServices(d *strictyaml.Document, key string, services []string) {
	if len(r.Split) == 0 {
		d.Reference(key+".service", r.Service, "service", services)
		return
	}
	if r.Service != "" {
		d.Add(key+".service", "want service or split, not both")
	}
	d.Count(key+".split", len(r.Split), MaxShares)
	sum := 0
	for i, share := range r.Split {
		at := fmt.Sprintf("%s.split[%d]", key, i)
		d.Reference(at+".service", share.Service, "service", services)
		strictyaml.Range(d, at+".weight", share.Weight, 0, MaxWeight)
		sum += share.Weight
	}
	if sum == 0 {
		d.Add(key+".split", "want a weight above 0")
	}
}

func (r *Route) check(d *strictyaml.Document, key string) {
	d.Name(key+".name", r.Name)
	checkPath(d, key+".path", r.Path)
	var seen strictyaml.Unique
	for i, method := range r.Methods {
		at := fmt.Sprintf("%s.methods[%d]", key, i)
		seen.Check(d, at, method)
		d.OneOf(at, method, methods...)
	}
	d.Count(key+".hosts", len(r.Hosts), MaxRouteHosts)
	var hosts strictyaml.Unique
	for i, host := range r.Hosts {
		at := fmt.Sprintf("%s.hosts[%d]", key, i)
		hosts.Check(d, at, host)
		checkHost(d, at, host)
	}
	d.Duration(key+".timeout", r.Timeout, time.Millisecond, MaxTimeout)
	d.Duration(key+".target", r.Target, 0, MaxTimeout)
	if r.Upload && r.Repeatable {
		d.Add(key+".upload", "want upload or repeatable, not both: an upload is never sent twice")
	}
	if r.Download && !r.Repeatable {
		d.Add(key+".download", "want repeatable as well: a download may run more than once")
	}
	strictyaml.Range(d, key+".retries", r.Retries, 0, MaxRetries)
	strictyaml.Range(d, key+".priority", r.Priority, 0, LowestPriority)
}

func checkPath(d *strictyaml.Document, key, value string) {
	if !d.Required(key, value) {
		return
	}
	clean := path.Clean(value)
	if strings.HasSuffix(value, "/") && clean != "/" {
		clean += "/"
	}
	switch {
	case len(value) > MaxPathBytes:
		d.Add(key, "has %d bytes, want at most %d", len(value), MaxPathBytes)
	case !strings.HasPrefix(value, "/"):
		d.Add(key, "must begin with /, got %q", value)
	case strings.Contains(value, "%"):
		d.Add(key, "want the path without escapes, got %q", value)
	case strings.ContainsAny(value, "?#*\\ "):
		d.Add(key, "want a plain path prefix without query, fragment, wildcard, backslash or blank, got %q", value)
	case clean != value:
		d.Add(key, "want a clean path; did you mean %q?", clean)
	}
}

// anyMethod stands for a route without methods.
const anyMethod = "any"

// overlaps finds routes that take the same requests: same host and path, and a
// method in common. It maps a place to the route keys that take its methods.
type overlaps map[place]taken

// place is where a route listens.
type place struct{ host, path string }

func (o overlaps) check(d *strictyaml.Document, key string, r *Route, hosts []string) {
	if r.Path == "" {
		return
	}
	for _, host := range slices.Compact(slices.Sorted(slices.Values(hosts))) {
		at := place{host: host, path: r.Path}
		if o[at] == nil {
			o[at] = taken{}
		}
		o[at].check(d, key, r)
	}
}

// taken maps a method to the route key that takes it at one place.
type taken map[string]string

func (t taken) check(d *strictyaml.Document, key string, r *Route) {
	wanted := r.Methods
	if len(wanted) == 0 {
		wanted = []string{anyMethod}
	}
	if method, other, shared := sharedMethod(t, wanted); shared {
		d.Add(key+".path", "%q with method %s is already taken by %s%s", r.Path, method, other, d.InLine(other))
	}
	for _, method := range wanted {
		t[method] = key
	}
}

// sharedMethod returns a wanted method that is taken, and by which route. Any
// method meets every method: the order of routes must not decide.
func sharedMethod(taken map[string]string, wanted []string) (method, other string, shared bool) {
	for _, method := range append([]string{anyMethod}, wanted...) {
		if other, shared := taken[method]; shared {
			return method, other, true
		}
	}
	if wanted[0] != anyMethod {
		return "", "", false
	}
	for _, method := range methods {
		if other, shared := taken[method]; shared {
			return method, other, true
		}
	}
	return "", "", false
}
