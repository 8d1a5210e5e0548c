// Package telemetry builds what lets people see a daemon from outside:
// structured logs, metrics and traces.
package telemetry

import (
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// NewLog builds the logger that the settings ask for; it writes to stderr.
func NewLog(cfg settings.Log) (logr.Logger, error) {
	zapCfg := zap.NewProductionConfig()
	zapCfg.Sampling = nil
	zapCfg.Level = zap.NewAtomicLevelAt(zapcore.Level(-cfg.Level))
	zapCfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	zapCfg.DisableStacktrace = true
	if cfg.Format == "text" {
		zapCfg.Encoding = "console"
	}
	logger, err := zapCfg.Build()
	if err != nil {
		return logr.Discard(), errors.Wrap(err, "build log")
	}
	return zapr.NewLogger(logger), nil
}
