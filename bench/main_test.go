package main

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/bench/report"
)

// TestSmoke checks that every measurement runs at its smallest size and writes figures. It does not
// check their values.
func TestSmoke(t *testing.T) {
	commands := []string{
		"convergence --sizes 4 --processes 3 --changes 2 --services 2 --routes 4 --settle 100ms --spacing 1ms",
		"calls --daemons 3 --rates 50 --ramp 50 --phase 300ms --settle 100ms --delay 1ms --overload 0.2 --urgent 0.1 --kill-load 0.01",
		"recovery --herds 6 --presence 5 --times 1 --log 2 --services 2 --routes 4 --settle 100ms",
		"capacity --sweeps presence,version,changes,churn,claims --known 1,2,3,4 --version-routes 5,10,15,20 --fleet 5" +
			" --change-rates 5,6,7,8 --churn-rates 5,6,7,8 --claim-rates 5,6,7,8 --phase 200ms --settle 100ms",
		"commit --operators 2 --phase 300ms",
		"bytes --sizes 4 --processes 3 --changes 2 --services 2 --routes 4 --settle 100ms --idle 100ms --spacing 1ms",
	}
	for _, line := range commands {
		args := strings.Fields(line)
		t.Run(args[0], func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			dir := c.TempDir()
			var out bytes.Buffer
			c.Assert(execute(t.Context(), append(args, "--out", dir, "--revision", "test"), &out), qt.IsNil, qt.Commentf("%s", &out))
			paths, err := filepath.Glob(filepath.Join(dir, args[0]+"-*.json"))
			c.Assert(err, qt.IsNil)
			c.Assert(paths, qt.HasLen, 1)
			rep, err := report.Load(paths[0])
			c.Assert(err, qt.IsNil)
			c.Assert(len(rep.Figures) > 0, qt.IsTrue)
			c.Assert(rep.Revision, qt.Equals, "test")
			c.Assert(rep.Machine.Cores > 0, qt.IsTrue)
			c.Assert(out.String(), qt.Contains, rep.Machine.GoVersion)
			c.Assert(execute(t.Context(), []string{"compare", paths[0], paths[0]}, &out), qt.IsNil)
			c.Assert(out.String(), qt.Contains, "+0%")
		})
	}
}
