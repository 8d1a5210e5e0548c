package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
)

// drainPoll is the time between two looks at what still runs.
const drainPoll = 200 * time.Millisecond

func newDrain() *cobra.Command {
	var to target
	var out output
	var order operator.DrainRequest
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Take a daemon's backend servers, or one of them, out of service, or undo that",
		Long: `Gives no new work to the backend servers beside a daemon, or to one of them, and
waits until what is in progress is finished. No request is cut. The daemon goes
on answering its callers, from backend servers beside other daemons.

A drain lasts until it is undone or the daemon ends. Repeating it is safe.`,
		Example: `  daisygate drain --node n2 --wait 5m
  daisygate drain --server 127.0.0.1:9001
  daisygate drain --node n2 --undo`,
		Args: cobra.NoArgs,
		RunE: ask(&to, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			d := &drainer{client: client, order: order, wait: wait, progress: newProgress(cmd.ErrOrStderr())}
			status, err := d.run(cmd.Context())
			if err != nil {
				return nil, nil, err
			}
			return status, func(w io.Writer) { printDrain(w, status) }, nil
		}),
	}
	cmd.Flags().StringVar(&order.Node, "node", "", "name of the daemon; empty is the one that is asked, or the one beside --server")
	cmd.Flags().StringVar(&order.Server, "server", "", "address of one backend server, ip:port; empty is all beside the daemon")
	cmd.Flags().BoolVar(&order.Undo, "undo", false, "give new work again")
	cmd.Flags().DurationVar(&wait, "wait", time.Minute, "how long to wait until it is idle, such as 5m; 0s does not wait")
	to.flags(cmd)
	out.flags(cmd)
	return cmd
}

// drainer carries out one drain and waits for it.
type drainer struct {
	client   *operator.Client
	order    operator.DrainRequest
	wait     time.Duration
	progress *progress
}

func (d *drainer) run(ctx context.Context) (operator.DrainStatus, error) {
	status, err := d.client.Drain(ctx, d.order)
	if err != nil || d.order.Undo || d.wait <= 0 {
		return status, err
	}
	defer d.progress.end()
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	for !status.Idle {
		d.progress.show("requests in progress: %d", status.Running)
		select {
		case <-ctx.Done():
			return status, result.Errorf(result.NotIdle, "requests still in progress beside daemon %s: %d; they go on and nothing new begins", status.Node, status.Running)
		case <-time.After(drainPoll):
		}
		if seen, err := d.client.DrainStatus(ctx, d.order); err == nil {
			status = seen
		}
	}
	return status, nil
}

func printDrain(w io.Writer, s operator.DrainStatus) {
	state := "serves"
	if s.Draining {
		state = "drains"
	}
	fmt.Fprintf(w, "daemon %s %s, requests in progress: %d\n", s.Node, state, s.Running)
	var rows []string
	for _, v := range s.Servers {
		state := "serving"
		if v.Draining {
			state = "draining"
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%s", v.Address, v.Mesh, v.Service, v.Running, state))
	}
	if len(rows) > 0 {
		table(w, "SERVER\tMESH\tSERVICE\tRUNNING\tSTATE", rows)
	}
}
