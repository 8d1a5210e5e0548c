package strictyaml

import (
	"fmt"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// maxFaults is the maximum number of faults that are reported for one text.
const maxFaults = 100

// position is a position in the text.
type position struct{ line, column int }

// Document collects the faults and the positions of the keys while a text is decoded
// and checked.
type Document struct {
	positions map[string]position
	faults    Faults
	// unreadable contains the keys whose values could not be decoded. Further faults of
	// these values are not reported, because they would only repeat the first.
	unreadable map[string]bool
	// omitted is the number of faults beyond maxFaults.
	omitted int
}

// NewDocument returns a Document without a text, to collect the faults of values that
// were built in memory. Its faults have no position.
func NewDocument() *Document {
	return &Document{positions: map[string]position{}, unreadable: map[string]bool{}}
}

// Add adds a fault at a key such as "routes[2].service". If the key is not in the text,
// the position is that of its nearest parent that is.
func (d *Document) Add(key, format string, args ...any) {
	if d.isUnreadable(key) {
		return
	}
	p := d.positionOf(key)
	d.addFault(Fault{Line: p.line, Column: p.column, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (d *Document) addFault(f Fault) {
	if len(d.faults) >= maxFaults {
		d.omitted++
		return
	}
	d.faults = append(d.faults, f)
}

// Faults returns the faults, sorted by position, or nil.
func (d *Document) Faults() Faults {
	d.faults.sort()
	if d.omitted > 0 {
		return append(d.faults, Fault{Key: "document", Message: fmt.Sprintf("%d more faults are not listed", d.omitted)})
	}
	return d.faults
}

// Err returns the faults as an error, or nil if there are none.
func (d *Document) Err() error {
	if faults := d.Faults(); len(faults) > 0 {
		return faults
	}
	return nil
}

// Has reports whether the key is in the text.
func (d *Document) Has(key string) bool {
	_, ok := d.positions[key]
	return ok
}

// isUnreadable reports whether the value at key, or at one of its parents, could not be
// decoded.
func (d *Document) isUnreadable(key string) bool {
	for ; key != ""; key = parentKey(key) {
		if d.unreadable[key] {
			return true
		}
	}
	return false
}

// positionOf returns the position of key or of its nearest parent in the text.
func (d *Document) positionOf(key string) position {
	for ; key != ""; key = parentKey(key) {
		if p, ok := d.positions[key]; ok {
			return p
		}
	}
	if len(d.positions) == 0 {
		return position{}
	}
	return position{line: 1, column: 1}
}

// parentKey returns the key that contains key: "a[1]" for "a[1].b", and "a" for "a[1]".
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func (d *Document) setPosition(key string, node ast.Node) {
	d.positions[key] = nodePosition(node)
}

// rejectValue adds a fault for the value at key, which could not be decoded.
func (d *Document) rejectValue(key string, node ast.Node, format string, args ...any) {
	p := nodePosition(node)
	if key != "" {
		d.unreadable[key] = true
	}
	d.addFault(Fault{Line: p.line, Column: p.column, Key: orDefault(key, "document"), Message: fmt.Sprintf(format, args...)})
}

func orDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// nodePosition returns the position at which a node starts. A block mapping starts at
// its first key, although its own token is the first colon.
func nodePosition(node ast.Node) position {
	switch n := node.(type) {
	case *ast.MappingNode:
		if !n.IsFlowStyle && len(n.Values) > 0 {
			return nodePosition(n.Values[0])
		}
	case *ast.MappingValueNode:
		return nodePosition(n.Key)
	}
	return tokenPosition(node.GetToken())
}

func tokenPosition(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}
