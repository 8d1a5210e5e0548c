// Command bench measures daisygate on loopback together with baselines measured in the same run:
// convergence, control bytes, commits, calls, recovery, and the slopes used by docs/CAPACITY.md.
// Every run ends by itself, uses less than half of the machine's memory, and writes a JSON file
// and a plot to its output folder.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := execute(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// execute runs one command line.
func execute(ctx context.Context, args []string, out io.Writer) error {
	root := &cobra.Command{
		Use:           "bench",
		Short:         "Measure daisygate and its baselines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newConvergence(), newBytes(), newCalls(), newCommit(), newRecovery(), newCapacity(), newCompare())
	root.SetArgs(args)
	root.SetOut(out)
	return root.ExecuteContext(ctx)
}
