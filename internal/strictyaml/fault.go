// Package strictyaml decodes YAML into a struct and reports all errors in the text at
// once, called faults: each has a line, a column, the path of its key and a message
// that says what is expected. It is used for the settings and the manifest.
//
// It supports a subset of YAML: one document of mappings, sequences and scalars.
// Anchors, aliases, tags and merge keys are rejected, so that the size of the decoded
// values is bounded by the size of the text.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a text, with its position. Line and Column start at 1; both are
// 0 if the fault has no position in the text.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns "line:column: key: message", or "key: message" if the fault has no
// position.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Key, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Key, f.Message)
}

// Faults lists the faults of one text, sorted by position.
type Faults []Fault

// Error returns the faults, one per line.
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
