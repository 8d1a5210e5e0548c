package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

const (
	// rolloutPoll is the time between two looks at a roll-out that is waited for.
	rolloutPoll = 250 * time.Millisecond
	// rolloutGrace is how much longer than its own time a roll-out is waited for.
	rolloutGrace = 10 * time.Second
)

func newRollout() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Move a service to another software version, watched by the mesh",
		Long: `Moves the requests of a service to backend servers of another software version,
which run beside those of the version before. A few servers of the new version
get a bounded part of the requests first, then all of them; each daemon compares
the answers of both versions. A version that fails more requests, or answers
more slowly, is rolled back. Once the new version is found good, it gets every
request, and "completed" is told when nothing runs at the version before.

It needs servers.rollouts in the settings of every node.`,
		Args: cobra.NoArgs,
	}
	cmd.AddCommand(newRolloutStart(), newRolloutStatus(), newRolloutAbort(), newRolloutHistory())
	return cmd
}

// rolloutName are the flags that name a service.
func rolloutName(cmd *cobra.Command, name *source.ServiceName) {
	cmd.Flags().StringVar(&name.Mesh, "mesh", "", "mesh of the service")
	cmd.Flags().StringVar(&name.Service, "service", "", "the service")
	_ = cmd.MarkFlagRequired("mesh")
	_ = cmd.MarkFlagRequired("service")
}

func newRolloutStart() *cobra.Command {
	var to target
	var out output
	var order operator.RolloutRequest
	var within time.Duration
	var wait bool
	cmd := &cobra.Command{
		Use:     "start",
		Short:   "Order that a service moves to a software version within a time",
		Example: "  daisygate rollout start --mesh ahnenbach --service archive --version v2 --within 5m --wait",
		Args:    cobra.NoArgs,
		RunE: ask(&to, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			order.WithinSeconds = within.Seconds()
			answer, err := client.OrderRollout(cmd.Context(), order)
			if err != nil {
				return nil, nil, err
			}
			if wait {
				w := rolloutWaiter{client: client, name: order.Name(), progress: newProgress(cmd.ErrOrStderr())}
				answer, err = w.run(cmd.Context(), within+rolloutGrace)
			}
			if err != nil {
				return nil, nil, err
			}
			return answer.Rollout, func(w io.Writer) { printRollout(w, answer.Rollout) }, nil
		}),
	}
	cmd.Flags().StringVar(&order.Mesh, "mesh", "", "mesh of the service")
	cmd.Flags().StringVar(&order.Service, "service", "", "the service")
	cmd.Flags().StringVar(&order.Target, "version", "", "software version that is to serve, as its servers announce it")
	cmd.Flags().DurationVar(&within, "within", 5*time.Minute, fmt.Sprintf("time in which it is decided, %s to %s", source.MinWithin, source.MaxWithin))
	cmd.Flags().BoolVar(&wait, "wait", false, "wait until it is decided; the exit code tells a version that was rolled back")
	for _, name := range []string{"mesh", "service", "version"} {
		_ = cmd.MarkFlagRequired(name)
	}
	to.flags(cmd)
	out.flags(cmd)
	return cmd
}

// rolloutWaiter waits until a roll-out is decided.
type rolloutWaiter struct {
	client   *operator.Client
	name     source.ServiceName
	progress *progress
}

func (w *rolloutWaiter) run(ctx context.Context, most time.Duration) (source.Answer, error) {
	defer w.progress.end()
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		answer, err := w.client.Rollout(ctx, w.name)
		if err == nil && answer.Rollout != nil {
			r := answer.Rollout
			w.progress.show("roll-out %d to version %s: %s", r.Number, r.Target, r.Stage)
			switch r.Stage {
			case fleet.Completed:
				return answer, nil
			case fleet.RolledBack:
				return answer, result.Errorf(result.RolledBack, "version %s still serves %s: %s", r.Version, w.name.Service, r.Why)
			}
		}
		select {
		case <-ctx.Done():
			return answer, result.Errorf(result.NotInForce, "the roll-out of service %s is not decided yet; it goes on", w.name.Service)
		case <-time.After(rolloutPoll):
		}
	}
}

// rolloutQuestion asks a daemon about the roll-outs of one service and returns what is printed.
type rolloutQuestion func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error)

// newRolloutQuestion fills in a command that asks one question about a service.
func newRolloutQuestion(cmd *cobra.Command, put rolloutQuestion) *cobra.Command {
	var to target
	var out output
	var name source.ServiceName
	cmd.Example = "  daisygate rollout " + cmd.Use + " --mesh ahnenbach --service archive"
	cmd.Args = cobra.NoArgs
	cmd.RunE = ask(&to, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
		list, err := put(cmd.Context(), client, name)
		if err != nil {
			return nil, nil, err
		}
		return list, func(w io.Writer) { printRollouts(w, list) }, nil
	})
	rolloutName(cmd, &name)
	to.flags(cmd)
	out.flags(cmd)
	return cmd
}

// newestLine is the roll-out of an answer as a list.
func newestLine(answer source.Answer, err error) ([]fleet.RolloutLine, error) {
	if err != nil || answer.Rollout == nil {
		return nil, err
	}
	return []fleet.RolloutLine{answer.Rollout.Line()}, nil
}

func newRolloutStatus() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "Tell how far the newest roll-out of a service is, and why"}
	return newRolloutQuestion(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		return newestLine(client.Rollout(ctx, name))
	})
}

func newRolloutAbort() *cobra.Command {
	cmd := &cobra.Command{Use: "abort", Short: "Roll back the roll-out of a service that runs; repeating it is safe"}
	return newRolloutQuestion(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		return newestLine(client.OrderRollout(ctx, operator.RolloutRequest{Mesh: name.Mesh, Service: name.Service, Abort: true}))
	})
}

func newRolloutHistory() *cobra.Command {
	cmd := &cobra.Command{Use: "history", Short: "List the roll-outs of a service that are known, newest first"}
	return newRolloutQuestion(cmd, func(ctx context.Context, client *operator.Client, name source.ServiceName) ([]fleet.RolloutLine, error) {
		answer, err := client.Rollout(ctx, name)
		list, err := newestLine(answer, err)
		if err != nil || list == nil {
			return list, err
		}
		list = append(slices.Clone(answer.Rollout.Past), list...)
		slices.Reverse(list)
		return list, nil
	})
}

func printRollout(w io.Writer, r *fleet.Rollout) {
	if r != nil {
		printRollouts(w, []fleet.RolloutLine{r.Line()})
	}
}

func printRollouts(w io.Writer, list []fleet.RolloutLine) {
	var rows []string
	for _, r := range list {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%s\t%s", r.Number, r.Version, r.Target, r.Stage, r.Ordered.Format(time.RFC3339), r.Why))
	}
	table(w, "NUMBER\tFROM\tTO\tSTAGE\tORDERED\tWHY", rows)
}
