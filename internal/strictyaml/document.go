package strictyaml

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// maxFaults bounds how many faults of one text are reported.
const maxFaults = 100

// place is a position in the text.
type place struct{ line, column int }

// Document is a text while it is read and checked. It knows the place of each
// key and gathers the faults.
type Document struct {
	places map[string]place
	faults Faults
	// broken holds the keys whose value could not be read; checks of such a
	// value would only repeat the fault.
	broken map[string]bool
	more   int
}

// NewDocument returns a Document without a text, to gather the faults of values
// that were built in memory. Its faults have no place.
func NewDocument() *Document {
	return &Document{places: map[string]place{}, broken: map[string]bool{}}
}

// Add reports a fault at a key such as "routes[2].service". A key that is not in
// the text is reported at the nearest one above it that is.
func (d *Document) Add(key, format string, args ...any) {
	if d.unread(key) {
		return
	}
	p := d.placeOf(key)
	d.add(Fault{Line: p.line, Column: p.column, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (d *Document) add(f Fault) {
	if len(d.faults) >= maxFaults {
		d.more++
		return
	}
	d.faults = append(d.faults, f)
}

// Faults returns what was found, in the order of the text, or nil.
func (d *Document) Faults() Faults {
	d.faults.sort()
	if d.more > 0 {
		return append(d.faults, Fault{Key: "document", Message: fmt.Sprintf("%d more faults are not listed", d.more)})
	}
	return d.faults
}

// Err returns Faults as an error, or nil.
func (d *Document) Err() error {
	if faults := d.Faults(); len(faults) > 0 {
		return faults
	}
	return nil
}

// Has reports whether the key is in the text.
func (d *Document) Has(key string) bool {
	_, ok := d.places[key]
	return ok
}

// unread reports whether the value at key, or one above it, could not be read.
func (d *Document) unread(key string) bool {
	for ; key != ""; key = parent(key) {
		if d.broken[key] {
			return true
		}
	}
	return false
}

func (d *Document) placeOf(key string) place {
	for ; key != ""; key = parent(key) {
		if p, ok := d.places[key]; ok {
			return p
		}
	}
	if len(d.places) == 0 {
		return place{}
	}
	return place{line: 1, column: 1}
}

// parent is the key above key: "a[1].b" is in "a[1]", which is in "a".
func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func (d *Document) mark(key string, node ast.Node) {
	d.places[key] = start(node)
}

// fail reports that the value at key can't be read.
func (d *Document) fail(key string, node ast.Node, format string, args ...any) {
	p := start(node)
	if key != "" {
		d.broken[key] = true
	}
	d.add(Fault{Line: p.line, Column: p.column, Key: or(key, "document"), Message: fmt.Sprintf(format, args...)})
}

func or(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// start is where a node begins. A block mapping begins at its first key, though
// its own token is the first colon.
func start(node ast.Node) place {
	switch n := node.(type) {
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return start(n.Values[0])
		}
	case *ast.MappingValueNode:
		return start(n.Key)
	}
	return placeOfToken(node.GetToken())
}

func placeOfToken(t *token.Token) place {
	if t == nil || t.Position == nil {
		return place{}
	}
	return place{line: t.Position.Line, column: t.Position.Column}
}
