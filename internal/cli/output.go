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

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// output holds the --output flag of a command.
type output struct{ format string }

func (o *output) flags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&o.format, "output", "o", formatText, "text or json")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{formatText, formatJSON}, cobra.ShellCompDirectiveNoFileComp))
}

// check rejects an unknown format before the command does anything.
func (o *output) check() error {
	if o.format != formatText && o.format != formatJSON {
		return usageError("--output: want text or json, got %q", o.format)
	}
	return nil
}

// print writes v as JSON, or calls text to write it as text.
func (o *output) print(w io.Writer, v any, text func(io.Writer)) error {
	if o.format == formatJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	text(w)
	return nil
}

// runWithClient returns a RunE function for a command that queries a daemon and
// prints the result. f returns the value to print as JSON and a function that
// writes it as text.
func runWithClient(api *apiOptions, out *output, f func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, _ []string) error {
		if err := out.check(); err != nil {
			return err
		}
		client, err := api.client()
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

// table writes tab-separated rows in aligned columns.
func table(w io.Writer, header string, rows []string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, r := range rows {
		fmt.Fprintln(t, r)
	}
	_ = t.Flush()
}

// clearLine moves the cursor to the start of the line and erases the line.
const clearLine = "\r\x1b[K"

// progress shows a status line. On a terminal it updates the line in place,
// otherwise it prints a new line on each change.
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

func (p *progress) update(format string, args ...any) {
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

// erase removes the status line on a terminal before other output.
func (p *progress) erase() {
	if p.terminal && p.last != "" {
		fmt.Fprint(p.w, clearLine)
	}
	p.last = ""
}
