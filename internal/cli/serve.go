package cli

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run the daemon of one instance",
		Long: `Runs the daemon of one instance until it is interrupted or terminated. Then it
leaves the fleet, finishes the requests in progress, and ends.`,
		Example: "  daisygate serve --settings /etc/daisygate/node.yaml",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), path) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	_ = cmd.MarkFlagFilename("settings", "yaml", "yml")
	return cmd
}

func serve(ctx context.Context, path string) error {
	set, err := settings.Load(path)
	if err != nil {
		return result.Errorf(result.UsageError, "%s\n%v", path, err)
	}
	log, err := telemetry.NewLog(set.Log)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
