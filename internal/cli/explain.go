package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/trail"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Tell from logs what became of one request",
		Long: `Reads logs of daemons and prints the path of the request ID through them, oldest
line first, with what its end means. FILE "-" is standard input. Give the logs of
the daemon that took the request and of those it was sent to.

A log tells of requests that were refused, failed, answered late or sent more than
once; of a share of them where there are many (log.requests_per_second).`,
		Example: "  daisygate explain 9c41d07be2a35f68 n1.log n2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readTrail(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Newf("no line about request %s in %d logs", args[0], len(args)-1)
			}
			return trail.Explain(cmd.OutOrStdout(), lines)
		},
	}
}

// readTrail gathers the lines about a request from logs.
func readTrail(in io.Reader, id string, paths []string) ([]trail.Line, error) {
	var all []trail.Line
	for _, path := range paths {
		lines, err := readLog(in, id, path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(in io.Reader, id, path string) ([]trail.Line, error) {
	if path == "-" {
		return trail.Read(in, "stdin", id)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read a log")
	}
	defer func() { _ = file.Close() }()
	return trail.Read(file, path, id)
}
