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

// statusReport is what status prints.
type statusReport struct {
	// Daemon is the daemon that was asked.
	Daemon operator.NodeStatus `json:"daemon"`
	// Version is the highest fleet version in force on any daemon.
	Version uint64 `json:"version"`
	// InForce is the number of daemons that have it, of all Daemons.
	InForce int `json:"in_force"`
	Daemons int `json:"daemons"`
	// Complete tells whether Fleet lists every daemon.
	Complete bool                 `json:"complete"`
	Fleet    []operator.FleetNode `json:"fleet"`
}

func newStatus() *cobra.Command {
	var to target
	var out output
	var lagging, all bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what is in force where, who lags and why",
		Long: `Shows the sources (role, term, commit, failure, repair of a lost disk), and for each daemon the version
in force, its links, its backend servers, and why it lags if it does.

Of a fleet of more than 64 daemons it lists the sources, the daemon that is asked
and a few that lag; the count is that of the whole fleet, as the daemons add it
up among themselves. --all asks every daemon, one by one.`,
		Example: "  daisygate status --operator 127.0.0.1:7400\n  daisygate status --lagging -o json",
		Args:    cobra.NoArgs,
		RunE: ask(&to, &out, func(cmd *cobra.Command, client *operator.Client) (any, func(io.Writer), error) {
			report, err := readStatus(cmd.Context(), client, all)
			if err != nil {
				return nil, nil, err
			}
			if lagging {
				report.Fleet = behind(report.Fleet, report.Version)
			}
			return report, report.print, nil
		}),
	}
	to.flags(cmd)
	out.flags(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "list every daemon of a large fleet too")
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
	seen := count(&fleet, newestVersion(&fleet))
	return &statusReport{
		Daemon: status, Version: seen.version, InForce: seen.there,
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
		fmt.Fprintln(w, "\nnot all daemons are listed; --all asks every one")
	}
}

// sourceState is "ok", or what a source cannot do and why.
func sourceState(s *source.Status) string {
	switch {
	case s.Failure != "":
		return "accepts nothing: " + s.Failure
	case s.Repair.State == replica.RepairAsking:
		return "repair: empty data folder, waits for all other sources, no vote"
	case s.Repair.State == replica.RepairLearning:
		return fmt.Sprintf("repair: holds %d of %d, no vote yet", s.Repair.Have, s.Repair.Need)
	case s.Lead == "":
		return "knows no leader"
	case s.Repair.State == replica.RepairDone:
		return "ok, repair done"
	}
	return "ok"
}

// nodeState is "in force", or why not, and what else is wrong with it.
func nodeState(n operator.FleetNode, version uint64) string {
	var parts []string
	if n.Version < version || !n.Ready {
		parts = append(parts, lagReason(n, version))
	} else {
		parts = append(parts, "in force")
	}
	if n.Stale && n.Version >= version {
		parts = append(parts, "stale: misses the leader's heartbeat")
	}
	for _, s := range n.Servers {
		if s.State != "serving" {
			parts = append(parts, fmt.Sprintf("%s at %s is %s", s.Service, s.Address, s.State))
		}
	}
	return strings.Join(parts, "; ")
}

// lagReason says why a daemon does not have the version.
func lagReason(n operator.FleetNode, version uint64) string {
	switch {
	case n.Error != "":
		return "does not answer: " + n.Error
	case n.Version >= version:
		return "holds it, but does not know yet that it is the newest"
	case n.Links == 0:
		return fmt.Sprintf("%d behind, has no link to another daemon", version-n.Version)
	case n.Stale:
		return fmt.Sprintf("%d behind, misses the leader's heartbeat", version-n.Version)
	}
	return fmt.Sprintf("%d behind, catching up", version-n.Version)
}
