// Package telemetry builds what lets people see a daemon from outside:
// structured logs, metrics, traces and health. The packages that decide know
// nothing of it: they are asked through callbacks, or tell an observer.
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

// NewLog builds the logger that the settings ask for. out must be safe for
// concurrent use, as a Sink is.
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
		core = newRepeats(core, cfg.RepeatInterval, time.Now)
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
		return nil, errors.Newf("log format %q", format)
	}
}
