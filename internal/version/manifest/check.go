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

// The limits of a manifest.
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

// knownMethods are the HTTP methods that a route may list.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// check validates the decoded values of m and adds all faults to d.
func (m *Manifest) check(d *strictyaml.Document) {
	d.Name("mesh", m.Mesh)
	if m.Version == 0 {
		d.Add("version", "want 1 or more; it must increase with each change")
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
	m.checkOrganisations(d)
	m.Limits.check(d)
	if !slices.Contains([]string{"", LoadSharingAuto, LoadSharingOn, LoadSharingOff}, m.LoadSharing) {
		d.Add("load_sharing", "want %s, %s or %s, got %q", LoadSharingAuto, LoadSharingOn, LoadSharingOff, m.LoadSharing)
	}
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
		d.Add(key, "want no trailing dot; did you mean %q?", strings.TrimRight(host, "."))
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
		itemKey := fmt.Sprintf("%s.allow[%d]", key, i)
		prefixes.Check(d, itemKey, prefix)
		d.Prefix(itemKey, prefix)
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
	overlaps := overlapChecker{}
	for i := range m.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		route := &m.Routes[i]
		names.Check(d, key+".name", route.Name)
		route.check(d, key)
		route.checkServices(d, key, services)
		overlaps.check(d, key, route, m.HostsOf(route))
	}
}

// HostsOf returns the host names that a route serves; "" means every host.
func (m *Manifest) HostsOf(r *Route) []string {
	switch {
	case len(r.Hosts) > 0:
		return r.Hosts
	case len(m.Hosts) > 0:
		return m.Hosts
	}
	return []string{""}
}

// checkServices checks that the route has either a service or a split, and that
// the services exist.
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
		itemKey := fmt.Sprintf("%s.split[%d]", key, i)
		d.Reference(itemKey+".service", share.Service, "service", services)
		strictyaml.Range(d, itemKey+".weight", share.Weight, 0, MaxWeight)
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
		itemKey := fmt.Sprintf("%s.methods[%d]", key, i)
		seen.Check(d, itemKey, method)
		d.OneOf(itemKey, method, knownMethods...)
	}
	d.Count(key+".hosts", len(r.Hosts), MaxRouteHosts)
	var hosts strictyaml.Unique
	for i, host := range r.Hosts {
		itemKey := fmt.Sprintf("%s.hosts[%d]", key, i)
		hosts.Check(d, itemKey, host)
		checkHost(d, itemKey, host)
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
		d.Add(key, "want the path without percent-encoding, got %q", value)
	case strings.ContainsAny(value, "?#*\\ "):
		d.Add(key, "want a plain path prefix without query, fragment, wildcard, backslash or space, got %q", value)
	case clean != value:
		d.Add(key, "want a clean path; did you mean %q?", clean)
	}
}

// anyMethod represents a route that matches every method.
const anyMethod = "any"

// overlapChecker finds routes that match the same requests: same host and path,
// and at least one method in common.
type overlapChecker map[hostPath]methodOwners

type hostPath struct{ host, path string }

func (o overlapChecker) check(d *strictyaml.Document, key string, r *Route, hosts []string) {
	if r.Path == "" {
		return
	}
	for _, host := range slices.Compact(slices.Sorted(slices.Values(hosts))) {
		at := hostPath{host: host, path: r.Path}
		if o[at] == nil {
			o[at] = methodOwners{}
		}
		o[at].check(d, key, r)
	}
}

// methodOwners maps each method of one hostPath to the key of the route that
// matches it.
type methodOwners map[string]string

func (owners methodOwners) check(d *strictyaml.Document, key string, r *Route) {
	wanted := r.Methods
	if len(wanted) == 0 {
		wanted = []string{anyMethod}
	}
	if method, other, shared := sharedMethod(owners, wanted); shared {
		d.Add(key+".path", "%q with method %s is already taken by %s%s", r.Path, method, other, d.LineSuffix(other))
	}
	for _, method := range wanted {
		owners[method] = key
	}
}

// sharedMethod returns a wanted method that another route already matches, and
// the key of that route. anyMethod conflicts with every method, so that which
// route matches never depends on the order of the routes.
func sharedMethod(owners map[string]string, wanted []string) (method, other string, shared bool) {
	for _, method := range append([]string{anyMethod}, wanted...) {
		if other, shared := owners[method]; shared {
			return method, other, true
		}
	}
	if wanted[0] != anyMethod {
		return "", "", false
	}
	for _, method := range knownMethods {
		if other, shared := owners[method]; shared {
			return method, other, true
		}
	}
	return "", "", false
}
