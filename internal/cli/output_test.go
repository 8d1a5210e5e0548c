package cli

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// TestProgress shows a line in place on a terminal, and elsewhere only on
// change.
func TestProgress(t *testing.T) {
	c := qt.New(t)
	for _, row := range []struct {
		terminal bool
		want     string
	}{
		{false, "1 of 2\n2 of 2\n"},
		{true, "\r\x1b[K1 of 2\r\x1b[K2 of 2\r\x1b[K"},
	} {
		var out bytes.Buffer
		p := &progress{w: &out, terminal: row.terminal}
		for _, there := range []int{1, 1, 2, 2} {
			p.show("%d of 2", there)
		}
		p.end()
		c.Check(out.String(), qt.Equals, row.want)
	}
}

// TestExitCodes holds the table whole: each code once, in order, and none
// given that it lacks.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	for i, e := range ExitCodes {
		c.Check(e.Code, qt.Equals, i)
		c.Check(e.Meaning, qt.Matches, "[A-Z].*\\.")
	}
	for code := range result.Codes() {
		got := exitCode(result.Errorf(code, ""))
		c.Check(got > ExitOK && got < len(ExitCodes), qt.IsTrue, qt.Commentf("%s gives %d", code, got))
	}
}
