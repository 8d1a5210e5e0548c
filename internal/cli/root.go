// Package cli is the command line: thin cobra commands over the packages that
// do the work. Exit codes follow the areas of the result codes.
package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

// Version is the release this binary was built from.
var Version = "0.1.0-dev"

// The exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnknown     = 3
	ExitUnreachable = 4
)

const clientTimeout = 30 * time.Second

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "daisygate:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return ExitUsage
	}
	switch {
	case coded.Code == result.Unreachable:
		return ExitUnreachable
	case coded.Code.Outcome() == result.Unknown:
		return ExitUnknown
	}
	return ExitRefused
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "daisygate",
		Short:         "Distributes a service mesh's configuration and carries its calls",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newValidate(), newApply(), newStatus(), newVersion())
	return root
}

// target is where a client command connects.
type target struct {
	addr      string
	tokenFile string
}

func (t *target) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&t.addr, "operator", "127.0.0.1:7400", "operator address of a daemon, ip:port")
	cmd.Flags().StringVar(&t.tokenFile, "token-file", "", "file with the operator token")
}

func (t *target) client() (*operator.Client, error) {
	c := &operator.Client{Addr: t.addr, HTTP: &http.Client{Timeout: clientTimeout}}
	if t.tokenFile == "" {
		return c, nil
	}
	raw, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "token file")
	}
	c.Token = strings.TrimSpace(string(raw))
	return c, nil
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this binary",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "daisygate", Version) },
	}
}
