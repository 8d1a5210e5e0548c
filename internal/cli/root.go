// Package cli implements the command line as thin cobra commands that call
// other packages.
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
	// requestTimeout is the timeout of a request to the operator API. A daemon
	// responds to a submission within 10 s.
	requestTimeout = 30 * time.Second
	defaultAddr    = "127.0.0.1:7400"
)

// Main runs the command line until the command returns or SIGINT or SIGTERM
// arrives, and returns the exit code.
func Main(args []string, out, errOut io.Writer, platform LoadPlatform) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, out, errOut, platform)
}

func run(ctx context.Context, args []string, out, errOut io.Writer, platform LoadPlatform) int {
	root := newRoot(platform)
	started := trackStart(root)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if !*started {
		err = usageError("%v; see daisygate help", err)
	}
	fmt.Fprintln(errOut, "daisygate:", err)
	return exitCode(err)
}

// trackStart wraps the RunE functions of all commands. The result becomes true
// when one of them is called: an error before that is a usage error.
func trackStart(root *cobra.Command) *bool {
	started := false
	var wrap func(*cobra.Command)
	wrap = func(parent *cobra.Command) {
		for _, c := range parent.Commands() {
			wrap(c)
			if runE := c.RunE; runE != nil {
				c.RunE = func(cmd *cobra.Command, args []string) error {
					started = true
					return runE(cmd, args)
				}
			}
		}
	}
	wrap(root)
	return &started
}

func newRoot(platform LoadPlatform) *cobra.Command {
	root := &cobra.Command{
		Use:   "daisygate",
		Short: "Distributes the configuration of a service mesh and forwards its requests",
		Long: `daisygate distributes the configuration of a service mesh and forwards its requests.

Operators submit a manifest, the complete desired configuration of one mesh. A
majority of the sources accepts it, every daemon puts it in force, and any daemon
forwards a caller's request to a backend server that can serve it.

Try it: daisygate dev --demo

` + exitCodesHelp(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newServe(platform), newValidate(), newApply(), newStatus(), newHistory(),
		newDiff(), newDrain(), newRollout(), newQuarantine(), newKeys(), newExplain(), newDev(), newVersion(),
	)
	return root
}

// apiOptions are the flags for connecting to the operator API of a daemon.
type apiOptions struct {
	addr      string
	tokenFile string
}

func (o *apiOptions) flags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.addr, "operator", defaultAddr, "operator address of any daemon, ip:port")
	cmd.Flags().StringVar(&o.tokenFile, "token-file", "", "file with the operator token; not needed on loopback if the daemon has none")
}

func (o *apiOptions) client() (*operator.Client, error) {
	token, err := operator.ReadToken(o.tokenFile)
	if err != nil {
		return nil, err
	}
	return &operator.Client{Addr: o.addr, Token: token, HTTP: &http.Client{Timeout: requestTimeout}}, nil
}

// usageError returns an error for a mistake in the command line. The message
// says what is expected.
func usageError(format string, args ...any) error {
	return result.Errorf(result.UsageError, format, args...)
}
