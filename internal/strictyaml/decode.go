package strictyaml

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Defaulter is a struct that sets its documented defaults before the keys of
// the text are read into it.
type Defaulter interface {
	SetDefaults()
}

// byteOrderMark may begin a text; some editors write it.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Decode reads raw into the struct that into points to. Keys are the names in
// the "yaml" tags; a key that the text lacks keeps its default. Fields may be
// strings, booleans, numbers, time.Duration, structs, and slices of these.
//
// Text of more than limit bytes is refused unread. Faults are gathered in the
// Document, to which the caller adds those of its own checks.
func Decode(raw []byte, limit int, into any) *Document {
	d := NewDocument()
	setDefaults(reflect.ValueOf(into))
	if len(raw) > limit {
		d.add(Fault{Line: 1, Column: 1, Key: "document", Message: fmt.Sprintf("has %d bytes, want at most %d", len(raw), limit)})
		return d
	}
	if body := d.parse(bytes.TrimPrefix(raw, byteOrderMark)); body != nil {
		d.decode("", body, reflect.ValueOf(into).Elem())
	}
	return d
}

// Whole reports whether the text could be read at all; if not, checks of what
// it holds say nothing.
func (d *Document) Whole() bool { return len(d.places) > 0 }

func setDefaults(v reflect.Value) {
	if defaulter, ok := v.Interface().(Defaulter); ok {
		defaulter.SetDefaults()
	}
}

func (d *Document) decode(key string, node ast.Node, into reflect.Value) {
	switch n := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode:
		d.fail(key, node, "anchors and aliases are not taken; write the value out")
		return
	case *ast.TagNode:
		d.fail(key, node, "tags are not taken; write the plain value")
		return
	case *ast.CommentGroupNode, *ast.NullNode:
		d.fail(key, node, "has no value; want %s, or leave the key out", want(into.Type()))
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
		d.fail(key, node, "want a mapping with the keys %s", strings.Join(names(into.Type()), ", "))
		return
	}
	fields := fieldsOf(into)
	for _, entry := range mapping.Values {
		d.decodeEntry(key, entry, fields, into.Type())
	}
}

func (d *Document) decodeEntry(key string, entry *ast.MappingValueNode, fields map[string]reflect.Value, in reflect.Type) {
	name, ok := keyName(entry.Key)
	if !ok {
		d.fail(key, entry.Key, "want a plain key")
		return
	}
	path := join(key, name)
	field, known := fields[name]
	switch {
	case !known:
		p := placeOfToken(entry.Key.GetToken())
		d.add(Fault{Line: p.line, Column: p.column, Key: path, Message: "is no key here; " + Suggest(name, names(in))})
	case d.Has(path):
		p := placeOfToken(entry.Key.GetToken())
		d.add(Fault{Line: p.line, Column: p.column, Key: path, Message: fmt.Sprintf("stands twice, first in line %d; keep one", d.places[path].line)})
	default:
		d.mark(path, entry.Key)
		d.decode(path, entry.Value, field)
	}
}

// keyName returns the text of a mapping key; merge keys and complex keys have
// none.
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
		d.fail(key, node, "want a list such as [%s]", example(into.Type().Elem()))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		path := fmt.Sprintf("%s[%d]", key, i)
		element := into.Index(i)
		setDefaults(element.Addr())
		d.mark(path, value)
		d.decode(path, value, element)
	}
}

// fieldsOf maps the yaml names of a struct's fields to the fields.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

// names lists the yaml names of a struct's fields in their order.
func names(t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("yaml"); name != "" {
			list = append(list, name)
		}
	}
	return list
}
