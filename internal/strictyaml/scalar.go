package strictyaml

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// decodeScalar reads one value. The text of the token counts, not the type that
// YAML guesses: a version "1.10" wanted as text stays "1.10".
func (d *Document) decodeScalar(key string, node ast.Node, into reflect.Value) {
	d.mark(key, node)
	text, ok := scalarText(node)
	if !ok {
		d.fail(key, node, "want %s, got a %s", want(into.Type()), node.Type().YAMLName())
		return
	}
	if !set(into, text, node) {
		d.fail(key, node, "want %s, got %q%s", want(into.Type()), abridge(text), hint(into.Type(), text))
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

// set parses text into a field and reports whether it could.
func set(into reflect.Value, text string, node ast.Node) bool {
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
		panic(fmt.Sprintf("strictyaml: a field of type %s", into.Type()))
	}
}

// want says what a field of a type takes.
func want(t reflect.Type) string {
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
		return "a whole number from 0"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "a mapping"
	}
}

// hint guesses what a refused value was to say.
func hint(t reflect.Type, text string) string {
	if t != durationType {
		return ""
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return fmt.Sprintf("; did you mean %ss?", text)
	}
	var number float64
	var unit string
	if n, _ := fmt.Sscanf(text, "%g %s", &number, &unit); n == 2 && units[unit] != "" {
		return fmt.Sprintf("; did you mean %s%s?", strconv.FormatFloat(number, 'f', -1, 64), units[unit])
	}
	return ""
}

// units maps the units that people write to those of time.ParseDuration.
var units = map[string]string{
	"ms": "ms", "msec": "ms", "millisecond": "ms", "milliseconds": "ms",
	"s": "s", "sec": "s", "secs": "s", "second": "s", "seconds": "s",
	"m": "m", "min": "m", "mins": "m", "minute": "m", "minutes": "m",
	"h": "h", "hr": "h", "hour": "h", "hours": "h",
}

// example is a sample element for a list of a type.
func example(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "{" + names(t)[0] + ": ...}"
	case reflect.String:
		return "a, b"
	default:
		return "1, 2"
	}
}

const maxShown = 60

// abridge shortens a value for a message.
func abridge(text string) string {
	if len(text) <= maxShown {
		return text
	}
	return text[:maxShown] + "..."
}
