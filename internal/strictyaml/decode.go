package strictyaml

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter is implemented by structs with default values.
type Defaulter interface {
	// SetDefaults sets the documented defaults. It is called before the keys of the
	// text are decoded into the struct.
	SetDefaults()
}

// byteOrderMark may precede the text, because some editors write it.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Decode decodes raw into the struct that into points to. Keys are the names in the
// "yaml" tags; a missing key keeps its default. Fields may be strings, booleans,
// numbers, time.Duration, structs, and slices of these.
//
// Text of more than limit bytes is rejected without parsing. Faults are collected in
// the returned Document, to which the caller adds the faults of its own checks.
func Decode(raw []byte, limit int, into any) *Document {
	d := NewDocument()
	setDefaults(reflect.ValueOf(into))
	if len(raw) > limit {
		d.addFault(Fault{Line: 1, Column: 1, Key: "document", Message: fmt.Sprintf("has %d bytes, want at most %d", len(raw), limit)})
		return d
	}
	if body := d.parse(bytes.TrimPrefix(raw, byteOrderMark)); body != nil {
		d.decode("", body, reflect.ValueOf(into).Elem())
	}
	return d
}

// Parsed reports whether the text could be parsed. If not, checks of the decoded values
// are meaningless.
func (d *Document) Parsed() bool { return len(d.positions) > 0 }

func setDefaults(v reflect.Value) {
	if defaulter, ok := v.Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
}

func (d *Document) decode(key string, node ast.Node, into reflect.Value) {
	switch n := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode:
		d.rejectValue(key, node, "anchors and aliases are not supported; write the value out")
		return
	case *ast.TagNode:
		d.rejectValue(key, node, "tags are not supported; write the plain value")
		return
	case *ast.CommentGroupNode, *ast.NullNode:
		d.rejectValue(key, node, "has no value; want %s, or omit the key", describeType(into.Type()))
		return
	case *ast.MappingValueNode:
		node = ast.Mapping(n.Start, false, n)
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(key, node, into)
	case reflect.Slice:
		d.decodeSlice(key, node, into)
	default:
		d.decodeScalar(key, node, into)
	}
}

func (d *Document) decodeStruct(key string, node ast.Node, into reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.rejectValue(key, node, "want a mapping with the keys %s", strings.Join(yamlKeys(into.Type()), ", "))
		return
	}
	fields := fieldsByKey(into)
	for _, entry := range mapping.Values {
		d.decodeEntry(key, entry, fields, into.Type())
	}
}

func (d *Document) decodeEntry(key string, entry *ast.MappingValueNode, fields map[string]reflect.Value, structType reflect.Type) {
	name, ok := keyName(entry.Key)
	if !ok {
		d.rejectValue(key, entry.Key, "want a plain key")
		return
	}
	path := joinKey(key, name)
	field, known := fields[name]
	switch {
	case !known:
		p := tokenPosition(entry.Key.GetToken())
		d.addFault(Fault{Line: p.line, Column: p.column, Key: path, Message: "unknown key; " + Suggest(name, yamlKeys(structType))})
	case d.Has(path):
		p := tokenPosition(entry.Key.GetToken())
		d.addFault(Fault{Line: p.line, Column: p.column, Key: path, Message: fmt.Sprintf("is set twice, first in line %d; keep one", d.positions[path].line)})
	default:
		d.setPosition(path, entry.Key)
		d.decode(path, entry.Value, field)
	}
}

// keyName returns the text of a mapping key, or false for merge keys and complex keys.
func keyName(key ast.MapKeyNode) (string, bool) {
	switch k := key.(type) {
	case *ast.StringNode:
		return k.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NullNode:
		return key.GetToken().Value, true
	default:
		return "", false
	}
}

func (d *Document) decodeSlice(key string, node ast.Node, into reflect.Value) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.rejectValue(key, node, "want a list such as [%s]", exampleElement(into.Type().Elem()))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		element := into.Index(i)
		setDefaults(element.Addr())
		d.setPosition(path, value)
		d.decode(path, value, element)
	}
}

// fieldsByKey maps YAML keys to the fields of a struct.
func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

// yamlKeys returns the YAML keys of a struct's fields, in order.
func yamlKeys(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" {
			keys = append(keys, name)
		}
	}
	return keys
}
