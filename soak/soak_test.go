package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShortSoak runs one seed with the real programs. It checks only the promises: the speed
// of the machine determines how many requests are sent, but not whether a promise is kept.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	binary := filepath.Join(dir, "daisygate")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/daisygate").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	report, err := Run(context.Background(), Options{Seed: 1, Duration: 5 * time.Second, Daemons: 3, Binary: binary, Dir: dir})
	c.Assert(err, qt.IsNil)
	c.Log(report.Text())
	c.Check(report.Violations, qt.HasLen, 0)
	c.Check(len(report.history.Sent) > 0, qt.IsTrue)
}
