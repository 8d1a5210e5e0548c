// Package cli is the command line: thin cobra commands over the packages that
// do the work.
package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// requestTimeout bounds one request to the operator API; a daemon answers
	// a submission within 10 s.
	requestTimeout = 30 * time.Second
	defaultAddr    = "127.0.0.1:7400"
)

// Main runs the command line until it is done or a signal stops it, and
// returns the exit code.
func Main(args []string, out, errOut io.Writer, platform LoadPlatform) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, out, errOut, platform)
}

func run(ctx context.Context, args []string, out, errOut io.Writer, platform LoadPlatform) int {
	root := newRoot(platform)
	began := noteBegin(root)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if !*began {
		err = usage("%v; see daisygate help", err)
	}
	fmt.Fprintln(errOut, "daisygate:", err)
	return exitCode(err)
}

// noteBegin tells whether a command began: what fails before is a fault of the
// command line.
func noteBegin(root *cobra.Command) *bool {
	began := false
	var note func(*cobra.Command)
	note = func(parent *cobra.Command) {
		for _, c := range parent.Commands() {
			note(c)
			if begin := c.RunE; begin != nil {
				c.RunE = func(cmd *cobra.Command, args []string) error {
					began = true
					return begin(cmd, args)
				}
			}
		}
	}
	note(root)
	return &began
}

func newRoot(platform LoadPlatform) *cobra.Command {
	root := &cobra.Command{
		Use:   "daisygate",
		Short: "Distributes a service mesh's configuration and carries its calls",
		Long: `daisygate distributes the configuration of a service mesh and carries its calls.

Operators hand in a manifest, the whole intent for one mesh. A majority of the
sources accepts it, every daemon puts it in force, and any daemon takes a
caller's request to a backend server that can serve it.

Try it: daisygate dev --demo

` + exitCodesHelp(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(platform), newValidate(), newApply(), newStatus(), newHistory(),
		newDiff(), newDrain(), newRollout(), newExplain(), newDev(), newVersion(),
	)
	return root
}

// target is where a client command connects.
type target struct {
	addr      string
	tokenFile string
}

func (t *target) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&t.addr, "operator", defaultAddr, "operator address of any daemon, ip:port")
	cmd.Flags().StringVar(&t.tokenFile, "token-file", "", "file that holds the operator token; not needed on loopback if the daemon has none")
}

func (t *target) client() (*operator.Client, error) {
	token, err := operator.ReadToken(t.tokenFile)
	if err != nil {
		return nil, err
	}
	return &operator.Client{Addr: t.addr, Token: token, HTTP: &http.Client{Timeout: requestTimeout}}, nil
}

// usage is a fault of the command line, with what would be right.
func usage(format string, args ...any) error {
	return result.Errorf(result.UsageError, format, args...)
}
