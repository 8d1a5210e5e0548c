package manifest

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/goccy/go-yaml"
)

// Fault is one thing wrong with a manifest, with its place.
type Fault struct {
	Line, Column int
	Key          string
	Message      string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Key, f.Message)
}

// Faults is every fault of one manifest.
type Faults []Fault

// Error implements the error interface, one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads and checks a manifest. The error, if any, is a Faults.
func Parse(raw []byte) (*Manifest, error) {
	var m Manifest
	if err := yaml.UnmarshalWithOptions(raw, &m, yaml.Strict()); err != nil {
		return nil, Faults{{Key: "manifest", Message: err.Error()}}
	}
	if faults := m.check(); len(faults) > 0 {
		return nil, faults
	}
	return &m, nil
}

func (m *Manifest) check() Faults {
	var faults Faults
	add := func(key, format string, args ...any) {
		faults = append(faults, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
	}
	if m.Mesh == "" {
		add("mesh", "is required")
	}
	if m.Version == 0 {
		add("version", "must be 1 or more")
	}
	services := map[string]bool{}
	for i, s := range m.Services {
		key := fmt.Sprintf("services[%d]", i)
		if s.Name == "" {
			add(key+".name", "is required")
		}
		if services[s.Name] {
			add(key+".name", "%q is used twice", s.Name)
		}
		services[s.Name] = true
		for _, prefix := range s.Allow {
			if _, err := netip.ParsePrefix(prefix); err != nil {
				add(key+".allow", "want an address prefix such as 10.1.0.0/16, got %q", prefix)
			}
		}
	}
	routes := map[string]bool{}
	for i, r := range m.Routes {
		key := fmt.Sprintf("routes[%d]", i)
		if r.Name == "" {
			add(key+".name", "is required")
		}
		if routes[r.Name] {
			add(key+".name", "%q is used twice", r.Name)
		}
		routes[r.Name] = true
		if !strings.HasPrefix(r.Path, "/") {
			add(key+".path", "must begin with /, got %q", r.Path)
		}
		if !services[r.Service] {
			add(key+".service", "no service %q in this manifest", r.Service)
		}
		if r.Timeout <= 0 {
			add(key+".timeout", "must be above 0s")
		}
		if r.Priority < 0 || r.Priority > LowestPriority {
			add(key+".priority", "must be 0 to %d", LowestPriority)
		}
	}
	return faults
}
