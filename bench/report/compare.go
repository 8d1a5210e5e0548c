package report

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Compare prints the figures of two runs of the same command, with the change from the first to the
// second in percent, and the parameters that differ.
func Compare(out io.Writer, a, b *Report) error {
	if a.Command != b.Command {
		return errors.Newf("cannot compare runs of different commands: %s and %s", a.Command, b.Command)
	}
	for _, r := range []*Report{a, b} {
		fmt.Fprintf(out, "%s  %s  revision %s  %s\n", r.Time.Format("2006-01-02T15:04:05Z"), r.Command, r.Revision, r.Machine)
	}
	for _, p := range a.Params {
		if other := b.param(p.Name); other != p.Value {
			fmt.Fprintf(out, "differs: %s was %q, is %q\n", p.Name, p.Value, other)
		}
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "measure\tsystem\t%s\tunit\tbefore\tafter\tchange\t\n", a.SizeName)
	for _, f := range a.Figures {
		after, ok := b.Value(f.Name, f.System, f.Size)
		if !ok {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", f.Name, f.System, FormatNumber(f.Size), f.Unit, FormatNumber(f.Value), FormatNumber(after), percentChange(f.Value, after))
	}
	return w.Flush()
}

func (r *Report) param(name string) string {
	for _, p := range r.Params {
		if p.Name == name {
			return p.Value
		}
	}
	return ""
}

func percentChange(before, after float64) string {
	if before == 0 {
		return "-"
	}
	return fmt.Sprintf("%+.0f%%", 100*(after-before)/before)
}
