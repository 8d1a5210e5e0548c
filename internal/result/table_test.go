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

// documented returns the rows of the tables in docs/RESULT-CODES.md whose first
// cell has the given width, each as its cells.
func documented(c *qt.C, width int) map[string][]string {
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
		c.Assert(rows[cells[0]], qt.IsNil, qt.Commentf("%s stands twice", cells[0]))
		rows[cells[0]] = cells
	}
	return rows
}

// TestTableOfResultCodes holds docs/RESULT-CODES.md equal to the code.
func TestTableOfResultCodes(t *testing.T) {
	c := qt.New(t)
	rows := documented(c, 3)
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
		c.Check(strings.HasSuffix(row[5], "."), qt.IsTrue, qt.Commentf("%s: what to do", number))
	}
	c.Check(rows, qt.HasLen, len(codes))
}

// TestTableOfExitCodes holds the exit codes there equal to the command line's.
func TestTableOfExitCodes(t *testing.T) {
	c := qt.New(t)
	rows := documented(c, 1)
	for _, e := range cli.ExitCodes {
		c.Check(rows[fmt.Sprint(e.Code)], qt.DeepEquals, []string{fmt.Sprint(e.Code), e.Name, e.Meaning})
	}
	c.Check(rows, qt.HasLen, len(cli.ExitCodes))
}

// TestOutcomesOnTheWire holds that the outcome survives its header, and that
// what is not understood claims the least.
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
