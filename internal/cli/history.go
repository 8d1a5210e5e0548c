package cli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
)

func newHistory() *cobra.Command {
	var api apiOptions
	var out output
	var mesh string
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the accepted manifests, newest first",
		Example: "  daisygate history --mesh ahnenbach --limit 5",
		Args:    cobra.NoArgs,
		RunE: runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			if limit < 1 || limit > source.MaxHistory {
				return nil, nil, usageError("--limit: want 1 to %d, got %d", source.MaxHistory, limit)
			}
			list, err := client.History(cmd.Context(), source.HistoryRequest{Mesh: mesh, Limit: limit})
			if err != nil {
				return nil, nil, err
			}
			if list == nil {
				list = []source.HistoryEntry{}
			}
			slices.Reverse(list)
			return list, func(w io.Writer) { printHistory(w, list) }, nil
		}),
	}
	api.flags(cmd)
	out.flags(cmd)
	cmd.Flags().StringVar(&mesh, "mesh", "", "list only this mesh; default is all")
	cmd.Flags().IntVar(&limit, "limit", 20, fmt.Sprintf("maximum number of lines, 1 to %d", source.MaxHistory))
	return cmd
}

func printHistory(w io.Writer, list []source.HistoryEntry) {
	var rows []string
	for _, a := range list {
		rows = append(rows, fmt.Sprintf("%d\t%s\t%d\t%016x\t%s", a.Fleet, a.Mesh, a.Version, a.Content, a.Time.Format(time.RFC3339)))
	}
	table(w, "FLEET\tMESH\tVERSION\tCONTENT\tACCEPTED", rows)
}
