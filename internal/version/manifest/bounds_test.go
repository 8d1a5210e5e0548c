package manifest

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestShapeIsBoundedBeforeItCosts parses inputs that took the YAML parser minutes
// or overflowed its stack before the size and structure of the input were limited.
// It measures no time: without the limits it exceeds the test timeout of the
// package.
func TestShapeIsBoundedBeforeItCosts(t *testing.T) {
	c := qt.New(t)
	for name, test := range map[string]struct{ text, want string }{
		"depth":     {strings.Repeat("[", 1<<16), "is nested too deep"},
		"list":      {strings.Repeat("- ", 1<<15), "is nested too deep"},
		"keys":      {strings.Repeat("a: b\n", 100_000), "more than 256 keys"},
		"flow keys": {"{" + strings.Repeat("a: b, ", 100_000), "more than 256 keys"},
		"blanks":    {"a: >\n" + strings.Repeat("\n", 4_000_000), "block scalars"},
		"tabs":      {"a: \"" + strings.Repeat("\t{a: b}, ", 400_000), "has a tab"},
		"entries":   {"a: [" + strings.Repeat("- ", 1<<17), "within brackets"},
		"size":      {strings.Repeat("#", MaxBytes+1), "want at most 4194304"},
		"faults":    {"mesh: [" + strings.Repeat("\n", 10) + "]\nroutes:\n" + strings.Repeat("- {}\n", 5000), "more faults are not listed"},
	} {
		_, err := Parse([]byte(test.text))
		c.Assert(err, qt.ErrorMatches, "(?s).*"+test.want+".*", qt.Commentf("%s", name))
	}
}
