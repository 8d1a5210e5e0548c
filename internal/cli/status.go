package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
)

func newStatus() *cobra.Command {
	var to target
	var format string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what is in force where",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := to.client()
			if err != nil {
				return err
			}
			nodes, err := client.Fleet(context.Background())
			if err != nil {
				return err
			}
			if format == "json" {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(nodes)
			}
			return printFleet(cmd.OutOrStdout(), nodes)
		},
	}
	to.flags(cmd)
	cmd.Flags().StringVarP(&format, "output", "o", "text", "text or json")
	return cmd
}

func printFleet(out io.Writer, nodes []operator.FleetNode) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tDOMAIN\tVERSION\tSERVERS\tERROR")
	for _, n := range nodes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", n.Node, n.Domain, n.Version, len(n.Servers), n.Error)
	}
	return w.Flush()
}
