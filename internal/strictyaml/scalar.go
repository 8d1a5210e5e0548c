package strictyaml

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeScalar decodes one scalar. It uses the text of the token and the type of the
// field, not the type that YAML infers: a version 1.10 in a string field stays "1.10".
func (d *Document) decodeScalar(key string, node ast.Node, into reflect.Value) {
	d.setPosition(key, node)
	text, ok := scalarText(node)
	if !ok {
		d.rejectValue(key, node, "want %s, got a %s", describeType(into.Type()), node.Type().YAMLName())
		return
	}
	if !setScalar(into, text, node) {
		d.rejectValue(key, node, "want %s, got %q%s", describeType(into.Type()), truncate(text), suggestDuration(into.Type(), text))
	}
}

func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node.GetToken().Value, true
	default:
		return "", false
	}
}

// setScalar parses text into a field and reports whether that succeeded.
func setScalar(into reflect.Value, text string, node ast.Node) bool {
	if into.Type() == durationType {
		v, err := time.ParseDuration(text)
		into.SetInt(int64(v))
		return err == nil && text != "0"
	}
	_, quoted := node.(*ast.StringNode)
	switch into.Kind() {
	case reflect.String:
		into.SetString(text)
		return true
	case reflect.Bool:
		into.SetBool(text == "true")
		return !quoted && (text == "true" || text == "false")
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, into.Type().Bits())
		into.SetInt(v)
		return err == nil && !quoted
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v, err := strconv.ParseUint(text, 10, into.Type().Bits())
		into.SetUint(v)
		return err == nil && !quoted
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		into.SetFloat(v)
		return err == nil && !quoted
	default:
		panic(fmt.Sprintf("strictyaml: unsupported field type %s", into.Type()))
	}
}

// describeType describes the values of a field type, for messages.
func describeType(t reflect.Type) string {
	if t == durationType {
		return "a duration with its unit, such as 500ms, 10s or 5m"
	}
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "a whole number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a non-negative whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "a mapping"
	}
}

// suggestDuration returns a suggestion for an invalid duration, to append to a message,
// or "" if there is none.
func suggestDuration(t reflect.Type, text string) string {
	if t != durationType {
		return ""
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return fmt.Sprintf("; did you mean %ss?", text)
	}
	var number float64
	var unit string
	if n, _ := fmt.Sscanf(text, "%g %s", &number, &unit); n == 2 && durationUnits[unit] != "" {
		return fmt.Sprintf("; did you mean %s%s?", strconv.FormatFloat(number, 'f', -1, 64), durationUnits[unit])
	}
	return ""
}

// durationUnits maps common unit names to the units of time.ParseDuration.
var durationUnits = map[string]string{
	"ms": "ms", "msec": "ms", "millisecond": "ms", "milliseconds": "ms",
	"s": "s", "sec": "s", "secs": "s", "second": "s", "seconds": "s",
	"m": "m", "min": "m", "mins": "m", "minute": "m", "minutes": "m",
	"h": "h", "hr": "h", "hour": "h", "hours": "h",
}

// exampleElement returns an example of list elements of a type, for messages.
func exampleElement(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "{" + yamlKeys(t)[0] + ": ...}"
	case reflect.String:
		return "a, b"
	default:
		return "1, 2"
	}
}

// maxValueBytes is the maximum length of a value in a message.
const maxValueBytes = 60

// truncate shortens a value for a message.
func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return text[:maxValueBytes] + "..."
}
