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

// drainPollInterval is the time between two requests for the drain status.
const drainPollInterval = 200 * time.Millisecond

func newDrain() *cobra.Command {
	var api apiOptions
	var out output
	var order operator.DrainRequest
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain",
		Short: "Take a daemon's backend servers, or one of them, out of service, or undo that",
		Long: `Stops sending new requests to the backend servers on a daemon's instance, or to
one of them, and waits until the requests in progress have finished. No request is
interrupted. The daemon continues to serve its callers from backend servers on
other instances.

A drain lasts until it is undone or the daemon stops. Repeating it is safe.`,
		Example: `  daisygate drain --node n2 --wait 5m
  daisygate drain --server 127.0.0.1:9001
  daisygate drain --node n2 --undo`,
		Args: cobra.NoArgs,
		RunE: runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			d := &drainer{client: client, order: order, wait: wait, progress: newProgress(cmd.ErrOrStderr())}
			status, err := d.run(cmd.Context())
			if err != nil {
				return nil, nil, err
			}
			return status, func(w io.Writer) { printDrain(w, status) }, nil
		}),
	}
	cmd.Flags().StringVar(&order.Node, "node", "", "name of the daemon; default is the contacted daemon, or the one on the instance of --server")
	cmd.Flags().StringVar(&order.Server, "server", "", "address of one backend server, ip:port; default is all on the daemon's instance")
	cmd.Flags().BoolVar(&order.Undo, "undo", false, "send new requests again")
	cmd.Flags().DurationVar(&wait, "wait", time.Minute, "how long to wait until no request is in progress, for example 5m; 0s does not wait")
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

// drainer starts or undoes a drain and waits until no request is in progress.
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
	defer d.progress.erase()
	ctx, cancel := context.WithTimeout(ctx, d.wait)
	defer cancel()
	for !status.Idle {
		d.progress.update("requests in progress: %d", status.Running)
		select {
		case <-ctx.Done():
			return status, result.Errorf(result.NotIdle, "requests still in progress on the backend servers of daemon %s: %d; they continue, and no new ones are sent", status.Node, status.Running)
		case <-time.After(drainPollInterval):
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
