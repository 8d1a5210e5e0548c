package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestShortSoak plays one seed with the real programs. Its verdict is that of the
// promises alone: how fast the machine is decides how much is sent, not whether a
// promise holds.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	binary := filepath.Join(dir, "daisygate")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/daisygate").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	report, err := Run(context.Background(), Options{Seed: 1, For: 5 * time.Second, Daemons: 3, Binary: binary, Dir: dir})
	c.Assert(err, qt.IsNil)
	c.Log(report.Text())
	c.Check(report.Broken, qt.HasLen, 0)
	c.Check(len(report.history.Sent) > 0, qt.IsTrue)
}
