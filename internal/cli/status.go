package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/source"
)

// statusReport is the output of status.
type statusReport struct {
	// Daemon is the status of the contacted daemon.
	Daemon operator.NodeStatus `json:"daemon"`
	// Version is the highest fleet version in force on any daemon.
	Version uint64 `json:"version"`
	// InForce is the number of daemons that have Version in force, out of
	// Daemons.
	InForce int `json:"in_force"`
	Daemons int `json:"daemons"`
	// Complete reports whether Fleet lists every daemon.
	Complete bool                 `json:"complete"`
	Fleet    []operator.FleetNode `json:"fleet"`
}

func newStatus() *cobra.Command {
	var api apiOptions
	var out output
	var lagging, all bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which version is in force on which daemon, and which daemons lag and why",
		Long: `Shows the sources (role, term, commit, failure, repair of a lost disk), and for
each daemon the version in force, its links, its backend servers, and the reason
if it lags.

In a fleet of more than 64 daemons it lists the sources, the contacted daemon and a
few daemons that lag. The count covers the whole fleet, as aggregated by the daemons.
--all queries every daemon, one by one.`,
		Example: "  daisygate status --operator 127.0.0.1:7400\n  daisygate status --lagging -o json",
		Args:    cobra.NoArgs,
		RunE: runWithClient(&api, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			report, err := readStatus(cmd.Context(), client, all)
			if err != nil {
				return nil, nil, err
			}
			if lagging {
				report.Fleet = laggingNodes(report.Fleet, report.Version)
			}
			return report, report.print, nil
		}),
	}
	api.flags(cmd)
	out.flags(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "list every daemon, also in a large fleet")
	cmd.Flags().BoolVar(&lagging, "lagging", false, "list only the daemons that do not have the newest version in force")
	return cmd
}

func readStatus(ctx context.Context, client *operator.Client, all bool) (*statusReport, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	fleet, err := client.Fleet(ctx, all)
	if err != nil {
		return nil, err
	}
	seen := countInForce(&fleet, newestVersion(&fleet))
	return &statusReport{
		Daemon: status, Version: seen.version, InForce: seen.inForce,
		Daemons: seen.daemons, Complete: fleet.Complete, Fleet: fleet.Nodes,
	}, nil
}

func (r *statusReport) print(w io.Writer) {
	fmt.Fprintf(w, "fleet version %d in force on %d of %d daemons, as daemon %s sees it\n", r.Version, r.InForce, r.Daemons, r.Daemon.Node)
	var sources, daemons []string
	for _, n := range r.Fleet {
		if s := n.Source; s != nil {
			sources = append(sources, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s",
				n.Node, n.Domain, s.Role, s.Term, s.Commit, s.Version, sourceState(s)))
		}
		daemons = append(daemons, fmt.Sprintf("%s\t%s\t%d\t%d\t%d\t%s",
			n.Node, n.Domain, n.Version, n.Links, len(n.Servers), nodeState(n, r.Version)))
	}
	if len(sources) > 0 {
		fmt.Fprintln(w)
		table(w, "SOURCE\tDOMAIN\tROLE\tTERM\tCOMMIT\tVERSION\tSTATE", sources)
	}
	if len(daemons) > 0 {
		fmt.Fprintln(w)
		table(w, "DAEMON\tDOMAIN\tVERSION\tLINKS\tSERVERS\tSTATE", daemons)
	}
	if !r.Complete {
		fmt.Fprintln(w, "\nnot all daemons are listed; --all queries every daemon")
	}
}

// sourceState returns "ok", or describes what a source cannot do and why.
func sourceState(s *source.Status) string {
	switch {
	case s.Failure != "":
		return "accepts no changes: " + s.Failure
	case s.Repair.State == replica.RepairAsking:
		return "repair: empty data folder, waiting for all other sources, no vote"
	case s.Repair.State == replica.RepairLearning:
		return fmt.Sprintf("repair: has log index %d of %d, no vote yet", s.Repair.Have, s.Repair.Need)
	case s.Lead == "":
		return "no known leader"
	case s.Repair.State == replica.RepairDone:
		return "ok, repair done"
	}
	return "ok"
}

// nodeState returns "in force" or the reason why the version is not in force,
// and any other problems of the daemon.
func nodeState(n operator.FleetNode, version uint64) string {
	var parts []string
	if n.Version < version || !n.Ready {
		parts = append(parts, lagReason(n, version))
	} else {
		parts = append(parts, "in force")
	}
	if n.Stale && n.Version >= version {
		parts = append(parts, "stale: no heartbeat from the leader")
	}
	for _, s := range n.Servers {
		if s.State != "serving" {
			parts = append(parts, fmt.Sprintf("%s at %s is %s", s.Service, s.Address, s.State))
		}
	}
	return strings.Join(parts, "; ")
}

// lagReason describes why a daemon does not have the version in force.
func lagReason(n operator.FleetNode, version uint64) string {
	switch {
	case n.Error != "":
		return "no response: " + n.Error
	case n.Version >= version:
		return "received, but not yet confirmed as the newest version"
	case n.Links == 0:
		return fmt.Sprintf("%d behind, no link to another daemon", version-n.Version)
	case n.Stale:
		return fmt.Sprintf("%d behind, no heartbeat from the leader", version-n.Version)
	}
	return fmt.Sprintf("%d behind, catching up", version-n.Version)
}
