package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
)

func newQuarantine() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List the requests that crashed backend servers, or release one",
		Long: `A request that crashed a backend server while it ran alone there is refused by all
daemons. The refusal ends by itself: after a minute, then after two; after the third
such crash only when nobody has sent the request for a quarter of an hour or more.
Release a request once its fault is mended. The log of the daemon beside the crashed
server has its fingerprint, method and path.`,
	}
	cmd.AddCommand(newQuarantineList(), newQuarantineRelease())
	return cmd
}

func newQuarantineList() *cobra.Command {
	return quarantineCommand(&cobra.Command{
		Use: "list", Short: "List the quarantined requests of the fleet", Example: "  daisygate quarantine list", Args: cobra.NoArgs,
	}, func(cmd *cobra.Command, client *operator.Client) (operator.QuarantineStatus, error) {
		return client.Quarantine(cmd.Context())
	})
}

func newQuarantineRelease() *cobra.Command {
	var request operator.ReleaseRequest
	cmd := quarantineCommand(&cobra.Command{
		Use: "release", Short: "End the refusal of a request in the whole fleet, whoever sends it",
		Example: "  daisygate quarantine release --fingerprint 70fbb3e634c96acd", Args: cobra.NoArgs,
	}, func(cmd *cobra.Command, client *operator.Client) (operator.QuarantineStatus, error) {
		return client.Release(cmd.Context(), request)
	})
	cmd.Flags().StringVar(&request.Fingerprint, "fingerprint", "", "fingerprint of the request, 16 hexadecimal digits")
	return cmd
}

// quarantineCommand completes a command that returns the quarantined requests.
func quarantineCommand(cmd *cobra.Command, call func(*cobra.Command, *operator.Client) (operator.QuarantineStatus, error)) *cobra.Command {
	var api apiOptions
	var out output
	cmd.RunE = runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
		status, err := call(cmd, client)
		if err != nil {
			return nil, nil, err
		}
		return status, func(w io.Writer) { printQuarantine(w, status) }, nil
	})
	api.flags(cmd)
	out.flags(cmd)
	return cmd
}

func printQuarantine(w io.Writer, s operator.QuarantineStatus) {
	if len(s.Requests) == 0 {
		fmt.Fprintln(w, "no request is quarantined")
		return
	}
	var rows []string
	for _, r := range s.Requests {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s", r.Fingerprint, r.Crashes, r.Forgotten.Format(time.RFC3339)))
	}
	table(w, "FINGERPRINT\tCRASHES\tFORGOTTEN", rows)
}
