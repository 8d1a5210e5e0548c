// Package diff compares two manifests of one mesh. It reports the services, routes and
// organisations that were added, removed or changed, and their changed fields.
package diff

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change describes one resource that differs.
type Change struct {
	Kind Kind `json:"kind"`
	// Resource is "mesh", "service", "route" or "organisation".
	Resource string `json:"resource"`
	Name     string `json:"name"`
	// Fields lists the fields that differ, if Kind is Changed.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one field that differs.
type Field struct {
	// Key is the field's key in the manifest.
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// String returns the change as one line that starts with +, - or ~.
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

// Compare returns the changes between two manifests: changes of the mesh, then of
// services, routes and organisations. Added and changed resources are in the order of
// to, followed by removed ones in the order of from. Version numbers are not compared.
func Compare(from, to *manifest.Manifest) []Change {
	var changes []Change
	if fields := compareFields(meshFields{from.Hosts, from.Limits, from.LoadSharing}, meshFields{to.Hosts, to.Limits, to.LoadSharing}); len(fields) > 0 {
		changes = append(changes, Change{Kind: Changed, Resource: "mesh", Name: to.Mesh, Fields: fields})
	}
	changes = append(changes, compareLists("service", from.Services, to.Services, func(s manifest.Service) string { return s.Name })...)
	changes = append(changes, compareLists("route", from.Routes, to.Routes, func(r manifest.Route) string { return r.Name })...)
	return append(changes, compareLists("organisation", shortenDigests(from.Organisations), shortenDigests(to.Organisations), func(o manifest.Organisation) string { return o.Name })...)
}

// shownDigestLength is the number of characters of a key digest that are shown.
const shownDigestLength = 12

// shortenDigests returns a copy of a list in which the key digests are shortened.
func shortenDigests(organisations []manifest.Organisation) []manifest.Organisation {
	shortened := slices.Clone(organisations)
	for i := range shortened {
		o := &shortened[i]
		o.KeyDigests = slices.Clone(o.KeyDigests)
		for j, digest := range o.KeyDigests {
			o.KeyDigests[j] = digest[:min(len(digest), shownDigestLength)]
		}
	}
	return shortened
}

// meshFields holds the compared fields of a manifest other than its services and
// routes.
type meshFields struct {
	Hosts       []string        `yaml:"hosts"`
	Limits      manifest.Limits `yaml:"limits"`
	LoadSharing string          `yaml:"load_sharing"`
}

func compareLists[T any](resource string, from, to []T, name func(T) string) []Change {
	var changes []Change
	old := map[string]T{}
	for _, v := range from {
		old[name(v)] = v
	}
	kept := map[string]bool{}
	for _, v := range to {
		before, exists := old[name(v)]
		kept[name(v)] = exists
		if !exists {
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

// compareFields returns the fields that differ between two structs of the same type.
// A nil and an empty list are equal.
func compareFields(from, to any) []Field {
	var fields []Field
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		x, y := formatValue(a.Field(i)), formatValue(b.Field(i))
		if x == y {
			continue
		}
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		fields = append(fields, Field{Key: key, From: x, To: y})
	}
	return fields
}

// formatValue formats the value of a field; "none" represents a nil pointer.
func formatValue(v reflect.Value) string {
	for v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return "none"
		}
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v)
}
