package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const waitInterval = 50 * time.Millisecond

func newValidate() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "validate",
		Short: "Check a manifest offline",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m, _, err := readManifest(path)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "ok: mesh %s version %d, %d services, %d routes\n", m.Mesh, m.Version, len(m.Services), len(m.Routes))
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "manifest (YAML)")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func readManifest(path string) (*manifest.Manifest, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(raw)
	if err != nil {
		return nil, nil, result.Errorf(result.ManifestInvalid, "%s\n%v", path, err)
	}
	return m, raw, nil
}

func newApply() *cobra.Command {
	var path string
	var to target
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Submit a manifest",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return apply(cmd, path, &to, wait)
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "manifest (YAML)")
	cmd.Flags().DurationVar(&wait, "wait", 0, "wait so long for it to be in force on every daemon")
	to.flags(cmd)
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

func apply(cmd *cobra.Command, path string, to *target, wait time.Duration) error {
	_, raw, err := readManifest(path)
	if err != nil {
		return err
	}
	client, err := to.client()
	if err != nil {
		return err
	}
	ctx := context.Background()
	answer, err := client.Submit(ctx, raw)
	if err != nil {
		return err
	}
	if answer.Code != result.Accepted && answer.Code != result.AlreadyAccepted {
		return result.Errorf(answer.Code, "%s", refusalText(answer))
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s: fleet version %d\n", answer.Code, answer.Fleet)
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return waitInForce(ctx, cmd, client, answer.Fleet)
}

func refusalText(a source.Answer) string {
	if a.Winner == nil {
		return a.Code.Meaning() + " " + a.Detail
	}
	return fmt.Sprintf("%s Accepted: mesh %s version %d, content %016x, at %s",
		a.Code.Meaning(), a.Winner.Mesh, a.Winner.Version, a.Winner.Content, a.Winner.Time.Format(time.RFC3339))
}

// waitInForce asks until every daemon has the version, showing how many do.
func waitInForce(ctx context.Context, cmd *cobra.Command, client *operator.Client, version uint64) error {
	begin := time.Now()
	for {
		nodes, err := client.Fleet(ctx)
		if err != nil {
			return err
		}
		there := 0
		for _, n := range nodes {
			if n.Version >= version {
				there++
			}
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "in force on %d of %d daemons\n", there, len(nodes))
		if there == len(nodes) {
			fmt.Fprintf(cmd.OutOrStdout(), "in force on all %d daemons after %s\n", there, time.Since(begin).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return result.Errorf(result.CommitUnknown, "accepted, but in force on only %d of %d daemons in time", there, len(nodes))
		case <-time.After(waitInterval):
		}
	}
}
