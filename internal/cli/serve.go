package cli

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/result"
)

// LoadPlatform reads the settings provided by the platform on which the process
// runs, and returns them with the adapter to that platform.
type LoadPlatform func() (settings.Settings, daemon.Platform, error)

func newServe(platform LoadPlatform) *cobra.Command {
	var path string
	var onPlatform bool
	cmd := &cobra.Command{
		Use:   "serve {--settings FILE | --platform}",
		Short: "Run the daemon of one instance",
		Long: `Runs the daemon of one instance until it is interrupted or terminated. Then it
leaves the fleet, finishes the requests in progress, and exits.

With --platform the settings come from the platform, and callers, backend servers
and operators use the interfaces of the platform.`,
		Example: "  daisygate serve --settings /etc/daisygate/node.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if onPlatform {
				return serveWith(cmd.Context(), platform)
			}
			return serve(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (YAML)")
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "run on the platform, with its settings and interfaces")
	cmd.MarkFlagsOneRequired("settings", "platform")
	cmd.MarkFlagsMutuallyExclusive("settings", "platform")
	_ = cmd.MarkFlagFilename("settings", "yaml", "yml")
	return cmd
}

func serve(ctx context.Context, path string) error {
	return serveWith(ctx, func() (settings.Settings, daemon.Platform, error) {
		set, err := settings.Load(path)
		if err != nil {
			return set, nil, errors.Newf("%s\n%v", path, err)
		}
		return set, nil, nil
	})
}

// serveWith runs a daemon with the settings and the platform adapter that load
// returns, and reloads them on SIGHUP.
func serveWith(ctx context.Context, load LoadPlatform) error {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	set, platform, err := load()
	if err != nil {
		return result.Errorf(result.UsageError, "%v", err)
	}
	sink := telemetry.NewSink(os.Stdout)
	defer sink.Close()
	log, err := telemetry.NewLog(set.Log, sink)
	if err != nil {
		return err
	}
	if set.Limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(set.Limits.MemoryBytes)
	}
	d, err := daemon.NewOnPlatform(set, log, platform)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go reloadSettings(ctx, sighups, d, load, set, log)
	return d.Run(ctx)
}

// settingsPollInterval is how often the settings are reloaded without a signal.
const settingsPollInterval = 5 * time.Second

// reloadSettings reloads the settings on each SIGHUP and every
// settingsPollInterval, because they may change without a signal. Invalid
// settings are logged and not applied.
func reloadSettings(ctx context.Context, sighups <-chan os.Signal, d *daemon.Daemon, load LoadPlatform, last settings.Settings, log logr.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			requested = true
		case <-ticker.C:
		}
		set, platform, err := load()
		switch {
		case err != nil:
			log.Error(err, "failed to reload settings; keeping the current ones")
		case requested || !reflect.DeepEqual(set, last) || d.NamesOtherServer(platform):
			last = set
			d.Reload(set, platform)
		}
	}
}
