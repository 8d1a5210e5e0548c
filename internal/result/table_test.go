package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/cli"
	"github.com/daisygate/daisygate/internal/result"
)

// documentedRows returns the cells of the table rows in docs/RESULT-CODES.md whose first
// cell has the given width, keyed by the first cell.
func documentedRows(c *qt.C, width int) map[string][]string {
	raw, err := os.ReadFile("../../docs/RESULT-CODES.md")
	c.Assert(err, qt.IsNil)
	rows := map[string][]string{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if len(cells) < 3 || len(cells[0]) != len("| ")+width || strings.HasPrefix(cells[0], "| -") {
			continue
		}
		cells[0] = strings.TrimPrefix(cells[0], "| ")
		cells[len(cells)-1] = strings.TrimSuffix(cells[len(cells)-1], " |")
		c.Assert(rows[cells[0]], qt.IsNil, qt.Commentf("%s is listed twice", cells[0]))
		rows[cells[0]] = cells
	}
	return rows
}

// TestTableOfResultCodes compares the result codes in docs/RESULT-CODES.md with those in
// this package.
func TestTableOfResultCodes(t *testing.T) {
	c := qt.New(t)
	rows := documentedRows(c, 3)
	codes := result.Codes()
	for code, name := range codes {
		number := fmt.Sprintf("%03d", uint16(code))
		row := rows[number]
		c.Check(row, qt.HasLen, 6, qt.Commentf("%s %s", number, name))
		if len(row) != 6 {
			continue
		}
		want := []string{number, name, code.Outcome().String(), fmt.Sprint(code.HTTPStatus()), code.Meaning()}
		c.Check(row[:5], qt.DeepEquals, want)
		c.Check(strings.HasSuffix(row[5], "."), qt.IsTrue, qt.Commentf("%s: the last column must end with a period", number))
	}
	c.Check(rows, qt.HasLen, len(codes))
}

// TestTableOfExitCodes compares the exit codes in docs/RESULT-CODES.md with those of the
// command line.
func TestTableOfExitCodes(t *testing.T) {
	c := qt.New(t)
	rows := documentedRows(c, 1)
	for _, e := range cli.ExitCodes {
		c.Check(rows[fmt.Sprint(e.Code)], qt.DeepEquals, []string{fmt.Sprint(e.Code), e.Name, e.Meaning})
	}
	c.Check(rows, qt.HasLen, len(cli.ExitCodes))
}

// TestOutcomesOnTheWire checks that outcomes survive encoding and parsing, and that
// unknown texts are parsed as Unknown.
func TestOutcomesOnTheWire(t *testing.T) {
	c := qt.New(t)
	for _, o := range []result.Outcome{result.Run, result.NotRun, result.Unknown} {
		c.Check(result.ParseOutcome(o.String()), qt.Equals, o)
	}
	for _, text := range []string{"", "RUN", "not run", "perhaps"} {
		c.Check(result.ParseOutcome(text), qt.Equals, result.Unknown)
	}
	c.Check(result.Code(999).HTTPStatus(), qt.Equals, 500)
	c.Check(result.Code(999).Outcome(), qt.Equals, result.Unknown)
}
