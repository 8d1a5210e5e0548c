// Package strictyaml reads YAML into a struct and reports everything wrong with
// the text at once: each fault has its line, its column, the path of its key and
// what would be right. The settings and the manifest are both read by it.
//
// It takes a subset of YAML: one document of mappings, sequences and scalars.
// Anchors, aliases, tags and merge keys are refused, so the size of what is read
// is bounded by the size of the text.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a text, with its place. Line and Column count
// from 1; both are 0 if the fault has no place in the text.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns "line:column: key: message", without the place if there is
// none.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Key, f.Message)
}

// Faults is every fault of one text, in the order of their places.
type Faults []Fault

// Error implements the error interface, one fault a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func (fs Faults) sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
