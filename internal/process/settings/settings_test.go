package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/strictyaml"
)

// TestFaults checks the exact messages and positions of the faults reported for
// invalid settings.
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

// TestValidateBuiltInMemory checks that Validate also finds the faults of settings that
// were not parsed from YAML.
func TestValidateBuiltInMemory(t *testing.T) {
	c := qt.New(t)
	set := Defaults()
	c.Assert(set.Validate(), qt.ErrorMatches, "(?s)node: is required\ndomain: is required\nlisten.caller: .*")
}

// examplePaths returns the paths of the settings files in the examples directory.
func examplePaths(f testing.TB) []string {
	paths, err := filepath.Glob("../../../examples/settings/*/*.yaml")
	if err != nil || len(paths) == 0 {
		f.Fatalf("examples: %v, %v", paths, err)
	}
	return paths
}

// FuzzParse checks that no input makes Parse panic and that every error is a
// strictyaml.Faults.
func FuzzParse(f *testing.F) {
	for _, path := range examplePaths(f)[:2] {
		raw, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	for _, text := range []string{
		"node: a", "limits: {idle_timeout: 5}", "source: {members: [{}]}", "trace: {sample_ratio: .nan}",
		"listen: {peer: \"[fe80::1%eth0]:1\"}", "log: {level: 0x1}", "stop: {timeout: -1h}",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, err := Parse(raw)
		var faults strictyaml.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("got error of type %T, want strictyaml.Faults", err)
		}
	})
}
