package cli

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/requestlog"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show from logs what happened to one request",
		Long: `Reads the logs of daemons and prints the lines about the request ID, oldest first,
and the meaning of its result. FILE "-" is standard input. Pass the logs of the
daemon that received the request from the caller and of the daemons it was
forwarded to.

A log contains requests that were refused, failed, answered late or sent more than
once. If there are many, it contains only some of them (log.requests_per_second).`,
		Example: "  daisygate explain 9c41d07be2a35f68 n1.log n2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Newf("no line about request %s in %d logs", args[0], len(args)-1)
			}
			return requestlog.Explain(cmd.OutOrStdout(), lines)
		},
	}
}

// readLogs returns the lines about a request from several logs.
func readLogs(in io.Reader, id string, paths []string) ([]requestlog.Line, error) {
	var all []requestlog.Line
	for _, path := range paths {
		lines, err := readLog(in, id, path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(in io.Reader, id, path string) ([]requestlog.Line, error) {
	if path == "-" {
		return requestlog.Read(in, "stdin", id)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()
	return requestlog.Read(file, path, id)
}
