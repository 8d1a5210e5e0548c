package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
)

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// output is the form in which a command prints what it lists.
type output struct{ format string }

func (o *output) flags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", formatText, "text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{formatText, formatJSON}, cobra.ShellCompDirectiveNoFileComp))
}

// check refuses an unknown format before anything is done.
func (o *output) check() error {
	if o.format != formatText && o.format != formatJSON {
		return usage("--output: want text or json, got %q", o.format)
	}
	return nil
}

// print writes v as JSON, or lets text write it.
func (o *output) print(w io.Writer, v any, text func(io.Writer)) error {
	if o.format == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	text(w)
	return nil
}

// ask is the body of a command that asks a daemon and prints what it tells: f
// returns what is printed as JSON, and how it is written as text.
func ask(to *target, out *output, f func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		if err := out.check(); err != nil {
			return err
		}
		client, err := to.client()
		if err != nil {
			return err
		}
		v, text, err := f(cmd, client)
		if err != nil {
			return err
		}
		return out.print(cmd.OutOrStdout(), v, text)
	}
}

// table writes rows in columns.
func table(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, r := range rows {
		fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

// clearLine returns to the line's start and erases it.
const clearLine = "\r\x1b[K"

// progress shows one line that changes: in place on a terminal, elsewhere a new
// line at each change.
type progress struct {
	w        io.Writer
	terminal bool
	last     string
}

func newProgress(w io.Writer) *progress { return &progress{w: w, terminal: isTerminal(w)} }

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (p *progress) show(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if line == p.last {
		return
	}
	p.last = line
	if p.terminal {
		fmt.Fprint(p.w, clearLine+line)
		return
	}
	fmt.Fprintln(p.w, line)
}

// end removes the line from a terminal, for what is printed next.
func (p *progress) end() {
	if p.terminal && p.last != "" {
		fmt.Fprint(p.w, clearLine)
	}
	p.last = ""
}
