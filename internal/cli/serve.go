package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/telemetry"
)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of one instance",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), path) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func serve(ctx context.Context, path string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	set, err := settings.Load(path)
	if err != nil {
		return err
	}
	log, err := telemetry.NewLog(set.Log)
	if err != nil {
		return err
	}
	d, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return d.Run(ctx)
}
