package manifest

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// TestFaults compares the errors of invalid manifests with the expected messages
// and positions.
func TestFaults(t *testing.T) {
	datadriven.Walk(t, "testdata/faults", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if _, err := Parse([]byte(d.Input)); err != nil {
				return err.Error() + "\n"
			}
			return "ok\n"
		})
	})
}

func TestDefaults(t *testing.T) {
	c := qt.New(t)
	m, err := Parse([]byte("mesh: a\nversion: 1\nservices: [{name: s}]\nroutes: [{name: r, path: /, service: s, retries: 0}]"))
	c.Assert(err, qt.IsNil)
	c.Assert(m.Routes[0].Timeout, qt.Equals, DefaultTimeout)
	c.Assert(m.Routes[0].Retries, qt.Equals, 0)
	c.Assert(m.Routes[0].Priority, qt.Equals, DefaultPriority)
}

// TestByteOrderMark checks that a byte order mark at the start of a file, which
// some editors write, is ignored.
func TestByteOrderMark(t *testing.T) {
	_, err := Parse([]byte("\xef\xbb\xbfmesh: a\nversion: 1\nservices: [{name: s}]\nroutes: [{name: r, path: /, service: s}]"))
	qt.Assert(t, err, qt.IsNil)
}

// FuzzParse checks that Parse never panics and that its errors are always Faults.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("../../../examples/*.yaml")
	if err != nil || len(paths) == 0 {
		f.Fatalf("examples: %v, %v", paths, err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	for _, text := range []string{
		"", "mesh", "- a", "? a\n: b", "a: &x [*x, *x]", "a: !!binary x", "<<: {mesh: a}", "{", "mesh: \"\\xff\"",
		"mesh: a\nmesh: b", "services: [{allow: [[]]}]", "version: 99999999999999999999", "version: -1", "routes: {a: {b: {c: }}}",
		"---\n---\n", "mesh: |\n  a\n", "\t", "routes: [{timeout: 1e400h}]", "mesh: {a: 1}: b", "#", "%YAML 1.2\n---\na: b",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := Parse(raw)
		var faults Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error has type %T, want Faults", err)
		}
	})
}
