package cli

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// TestProgress verifies that the status line is updated in place on a terminal,
// and is printed only on change otherwise.
func TestProgress(t *testing.T) {
	c := qt.New(t)
	for _, tc := range []struct {
		terminal bool
		want     string
	}{
		{false, "1 of 2\n2 of 2\n"},
		{true, "\r\x1b[K1 of 2\r\x1b[K2 of 2\r\x1b[K"},
	} {
		var out bytes.Buffer
		p := &progress{w: &out, terminal: tc.terminal}
		for _, inForce := range []int{1, 1, 2, 2} {
			p.update("%d of 2", inForce)
		}
		p.erase()
		c.Check(out.String(), qt.Equals, tc.want)
	}
}

// TestExitCodes verifies that ExitCodes lists every code once and in order, and
// that every result code maps to a listed exit code.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	for i, e := range ExitCodes {
		c.Check(e.Code, qt.Equals, i)
		c.Check(e.Meaning, qt.Matches, "[A-Z].*\\.")
	}
	for code := range result.Codes() {
		exit := exitCode(result.Errorf(code, ""))
		c.Check(exit > ExitOK && exit < len(ExitCodes), qt.IsTrue, qt.Commentf("%s gives %d", code, exit))
	}
}
