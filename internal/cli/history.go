package cli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/process/source"
)

func newHistory() *cobra.Command {
	var to target
	var out output
	var mesh string
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted manifests, newest first",
		Example: "  daisygate history --mesh ahnenbach --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := out.check(); err != nil {
				return err
			}
			client, err := to.client()
			if err != nil {
				return err
			}
			all, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			list := newest(all, mesh, limit)
			return out.print(cmd.OutOrStdout(), list, func(w io.Writer) { printHistory(w, list) })
		},
	}
	to.flags(cmd)
	out.flags(cmd)
	cmd.Flags().StringVar(&mesh, "mesh", "", "only this mesh; empty lists all")
	cmd.Flags().IntVar(&limit, "limit", 20, "at most so many; 0 lists all")
	return cmd
}

func newest(all []source.Accepted, mesh string, limit int) []source.Accepted {
	list := []source.Accepted{}
	for _, a := range slices.Backward(all) {
		if mesh != "" && a.Mesh != mesh {
			continue
		}
		if limit > 0 && len(list) == limit {
			break
		}
		list = append(list, a)
	}
	return list
}

func printHistory(w io.Writer, list []source.Accepted) {
	var rows []string
	for _, a := range list {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%016x\t%s", a.Fleet, a.Mesh, a.Version, a.Content, a.Time.Format(time.RFC3339)))
	}
	table(w, "FLEET\tMESH\tVERSION\tCONTENT\tACCEPTED", rows)
}
