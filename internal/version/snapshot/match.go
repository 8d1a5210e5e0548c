package snapshot

import (
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguousPath is returned for a path with dot segments or a backslash, which
// implementations interpret differently. Such a request could match one route here
// but be handled as another path by the backend server.
var ErrAmbiguousPath = errors.New("the path has dot segments or a backslash")

// routeTable holds the routes of one host, keyed by path. A lookup tries the prefixes of
// the request's path at its segment boundaries, longest first, so that its cost depends
// on the depth of the path and not on the number of routes.
type routeTable struct {
	routes map[string][]*Route
	// maxKeyLen is the length of the longest key; longer prefixes are not looked up.
	maxKeyLen int
}

func (t *routeTable) add(r *Route) {
	t.routes[r.Path] = append(t.routes[r.Path], r)
	t.maxKeyLen = max(t.maxKeyLen, len(r.Path))
}

// find returns the route with the longest matching path that allows the method, or nil.
func (t *routeTable) find(method, path string) *Route {
	if t == nil {
		return nil
	}
	if r := t.lookup(method, path); r != nil {
		return r
	}
	end := min(len(path), t.maxKeyLen+1)
	for i := strings.LastIndexByte(path[:end], '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := t.lookup(method, path[:i+1]); r != nil {
			return r
		}
		if r := t.lookup(method, path[:i]); r != nil {
			return r
		}
	}
	return nil
}

// lookup returns the route with exactly the path key that allows the method, or nil.
func (t *routeTable) lookup(method, key string) *Route {
	if len(key) > t.maxKeyLen {
		return nil
	}
	return firstForMethod(t.routes[key], method)
}

func firstForMethod(routes []*Route, method string) *Route {
	for _, r := range routes {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// Match returns the route for a request, or nil if there is none. Routes for the
// request's host take precedence over routes for any host; within a host, the longest
// path wins. The host may have a port and a trailing dot and is case-insensitive; path is
// the escaped path.
func (s *Snapshot) Match(method, host, path string) (*Route, error) {
	path, err := normalizePath(path)
	if err != nil {
		return nil, err
	}
	if r := s.hosts[normalizeHost(host)].find(method, path); r != nil {
		return r, nil
	}
	return s.hosts[""].find(method, path), nil
}

// normalizeHost returns the host in lower case, without port, brackets and trailing dot,
// as in the keys of Snapshot.hosts.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && isPort(host, i) {
		host = host[:i]
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isPort reports whether the colon at index i precedes a port rather than the last group
// of an IPv6 address.
func isPort(host string, i int) bool {
	return host[max(i-1, 0)] == ']' || strings.IndexByte(host, ':') == i
}

// normalizePath decodes a path for matching only; the request is forwarded with the
// original path. An encoded slash does not separate segments, and invalid escapes are
// left as they are.
func normalizePath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	if strings.IndexByte(path, '%') >= 0 {
		path = unescape(path)
	}
	if strings.IndexByte(path, '\\') >= 0 || hasDotSegment(strings.ReplaceAll(path, encodedSlash, "/")) {
		return "", ErrAmbiguousPath
	}
	return path, nil
}

// encodedSlash represents an encoded slash within a segment. It occurs in no route path.
const encodedSlash = "\x00"

func unescape(path string) string {
	segments := strings.Split(path, "/")
	for i, s := range segments {
		if plain, err := url.PathUnescape(s); err == nil {
			segments[i] = strings.ReplaceAll(plain, "/", encodedSlash)
		}
	}
	return strings.Join(segments, "/")
}

func hasDotSegment(path string) bool {
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return false
		}
		rest = rest[i+2:]
		after := strings.TrimPrefix(rest, ".")
		if after == "" || after[0] == '/' {
			return true
		}
	}
}
