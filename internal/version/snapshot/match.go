package snapshot

import (
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguousPath is returned for a path whose target depends on who reads it:
// one with dot segments or a backslash. Such a request could match one route
// here and mean another to the backend server.
var ErrAmbiguousPath = errors.New("the path has dot segments or a backslash")

// table finds the routes of one host. A route's path is its key; a request
// looks up the segment borders of its own path, longest first, so that the cost
// depends on the depth of the path and not on the number of routes.
type table struct {
	routes map[string][]*Route
	// longest is the length of the longest key: no longer prefix is looked up.
	longest int
}

func (t *table) add(r *Route) {
	t.routes[r.Path] = append(t.routes[r.Path], r)
	t.longest = max(t.longest, len(r.Path))
}

// find returns the route with the longest path that takes the method, or nil.
func (t *table) find(method, path string) *Route {
	if t == nil {
		return nil
	}
	if r := t.at(method, path); r != nil {
		return r
	}
	end := min(len(path), t.longest+1)
	for i := strings.LastIndexByte(path[:end], '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := t.at(method, path[:i+1]); r != nil {
			return r
		}
		if r := t.at(method, path[:i]); r != nil {
			return r
		}
	}
	return nil
}

func (t *table) at(method, key string) *Route {
	if len(key) > t.longest {
		return nil
	}
	return pick(t.routes[key], method)
}

func pick(routes []*Route, method string) *Route {
	for _, r := range routes {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// Match returns the route for a request, or nil without one. A route of the
// request's own host goes before one for any host; within a host the longest
// path goes first. Host may carry a port and a trailing dot, in any case; path
// is the escaped path.
func (s *Snapshot) Match(method, host, path string) (*Route, error) {
	path, err := cleanPath(path)
	if err != nil {
		return nil, err
	}
	if r := s.hosts[cleanHost(host)].find(method, path); r != nil {
		return r, nil
	}
	return s.hosts[""].find(method, path), nil
}

// cleanHost brings a host name into the form of the table's keys.
func cleanHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && isPort(host, i) {
		host = host[:i]
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// isPort reports whether the colon at i begins a port and not the last group of
// an IPv6 address.
func isPort(host string, i int) bool {
	return host[max(i-1, 0)] == ']' || strings.IndexByte(host, ':') == i
}

// cleanPath undoes the escapes of a path, for the match alone: it is sent on as
// it came. An encoded slash parts no segments, and a bad escape stays as it is.
func cleanPath(path string) (string, error) {
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

// encodedSlash stands for an encoded slash within a segment; no route has it.
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
