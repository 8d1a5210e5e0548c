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

// TestFaults holds the faults of wrong settings, word for word with their
// places.
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

// TestValidateBuiltInMemory holds that settings without a text are checked too.
func TestValidateBuiltInMemory(t *testing.T) {
	c := qt.New(t)
	set := Defaults()
	c.Assert(set.Validate(), qt.ErrorMatches, "(?s)node: is required\ndomain: is required\nlisten.caller: .*")
}

// examplePaths lists the settings of every instance in the examples.
func examplePaths(f testing.TB) []string {
	paths, err := filepath.Glob("../../../examples/settings/*/*.yaml")
	if err != nil || len(paths) == 0 {
		f.Fatalf("examples: %v, %v", paths, err)
	}
	return paths
}

// FuzzParse holds that no text makes Parse panic, and that an error is always a
// list of faults.
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
			t.Fatalf("%T is no Faults", err)
		}
	})
}
