// Package telemetry implements the observability of a daemon: structured logs, metrics,
// traces and health endpoints. Other packages do not depend on it: it reads their state
// through callbacks, or implements the observer interfaces that they define.
package telemetry

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// NewLog returns a logger configured by cfg that writes to out. out must be safe for
// concurrent use, as Sink is.
func NewLog(cfg settings.Log, out zapcore.WriteSyncer) (logr.Logger, error) {
	return newLog(cfg, out)
}

func newLog(cfg settings.Log, out zapcore.WriteSyncer) (logr.Logger, error) {
	encoder, err := newEncoder(cfg.Format)
	if err != nil {
		return logr.Discard(), err
	}
	core := zapcore.NewCore(encoder, out, zap.NewAtomicLevelAt(zapcore.Level(-cfg.Level)))
	if cfg.RepeatInterval > 0 {
		core = newRateLimiter(core, cfg.RepeatInterval, time.Now)
	}
	return zapr.NewLogger(zap.New(core)), nil
}

func newEncoder(format string) (zapcore.Encoder, error) {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	switch format {
	case settings.LogJSON:
		return zapcore.NewJSONEncoder(cfg), nil
	case settings.LogText:
		return zapcore.NewConsoleEncoder(cfg), nil
	default:
		return nil, errors.Newf("unknown log format %q", format)
	}
}
