// Package diff compares two manifests of one mesh: which services and routes
// were added, removed or changed, and which of their fields.
package diff

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Kind tells what happened to a resource.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one resource that differs.
type Change struct {
	Kind Kind `json:"kind"`
	// Resource is "mesh", "service" or "route".
	Resource string `json:"resource"`
	Name     string `json:"name"`
	// Fields lists what differs in a changed resource.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one differing field, by its key in the manifest.
type Field struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// String returns the change as one line, with +, - or ~ first.
func (c Change) String() string {
	sign := map[Kind]string{Added: "+", Removed: "-", Changed: "~"}[c.Kind]
	line := fmt.Sprintf("%s %s %s", sign, c.Resource, c.Name)
	var fields []string
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s %s -> %s", f.Key, f.From, f.To))
	}
	if len(fields) == 0 {
		return line
	}
	return line + ": " + strings.Join(fields, ", ")
}

// Compare lists what turns from into to, in the order of the manifests. The
// version numbers are not compared.
func Compare(from, to *manifest.Manifest) []Change {
	var changes []Change
	if fields := compareFields(mesh{from.Hosts, from.Limits}, mesh{to.Hosts, to.Limits}); len(fields) > 0 {
		changes = append(changes, Change{Kind: Changed, Resource: "mesh", Name: to.Mesh, Fields: fields})
	}
	changes = append(changes, compareLists("service", from.Services, to.Services, func(s manifest.Service) string { return s.Name })...)
	return append(changes, compareLists("route", from.Routes, to.Routes, func(r manifest.Route) string { return r.Name })...)
}

// mesh is what a manifest has besides its services and routes.
type mesh struct {
	Hosts  []string        `yaml:"hosts"`
	Limits manifest.Limits `yaml:"limits"`
}

func compareLists[T any](resource string, from, to []T, name func(T) string) []Change {
	var changes []Change
	old := map[string]T{}
	for _, v := range from {
		old[name(v)] = v
	}
	kept := map[string]bool{}
	for _, v := range to {
		before, known := old[name(v)]
		kept[name(v)] = known
		if !known {
			changes = append(changes, Change{Kind: Added, Resource: resource, Name: name(v)})
			continue
		}
		if fields := compareFields(before, v); len(fields) > 0 {
			changes = append(changes, Change{Kind: Changed, Resource: resource, Name: name(v), Fields: fields})
		}
	}
	for _, v := range from {
		if !kept[name(v)] {
			changes = append(changes, Change{Kind: Removed, Resource: resource, Name: name(v)})
		}
	}
	return changes
}

// compareFields compares two structs of one type by their yaml keys. A nil and
// an empty list are the same.
func compareFields(from, to any) []Field {
	var fields []Field
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		x, y := text(a.Field(i)), text(b.Field(i))
		if x == y {
			continue
		}
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		fields = append(fields, Field{Key: key, From: x, To: y})
	}
	return fields
}

// text renders a field's value; "none" is a pointer to nothing.
func text(v reflect.Value) string {
	for v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v)
}
