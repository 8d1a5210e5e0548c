package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// RequestsLogger is the name of the logger whose lines are never held back here:
// they are about single requests, and bounded by whoever writes them.
const RequestsLogger = "requests"

// OperatorsLogger and SourceLogger are the names of the loggers that tell what operators
// asked for and what the sources accepted. Who reads them afterwards looks for one
// version among all: they take changesBurst lines.
const (
	OperatorsLogger = "operators"
	SourceLogger    = "source"
)

const (
	// repeatBurst is how many lines of one message an interval takes.
	repeatBurst = 10
	// changesBurst is repeatBurst for the loggers of changes: ten changes a second over
	// the default interval, three times what pipelines without a pause between two
	// changes reach, and 30 KB of log.
	changesBurst = 100
	// maxMessages bounds the messages remembered. Messages are constants of the
	// code, so there are fewer.
	maxMessages = 1024
)

// repeats is a zapcore.Core that writes one message of one logger at most
// repeatBurst times an interval. The first line after that tells how many were
// held back. zap's own sampler loses that number.
type repeats struct {
	zapcore.Core
	interval time.Duration
	now      func() time.Time
	shared   *repeatState
}

type repeatState struct {
	mu       sync.Mutex
	messages map[repeatKey]*repeatCount
}

type repeatKey struct {
	level           zapcore.Level
	logger, message string
}

type repeatCount struct {
	since    time.Time
	lines    int
	heldBack int
}

func newRepeats(core zapcore.Core, interval time.Duration, now func() time.Time) *repeats {
	return &repeats{Core: core, interval: interval, now: now, shared: &repeatState{messages: map[repeatKey]*repeatCount{}}}
}

// With implements zapcore.Core.
func (r *repeats) With(fields []zapcore.Field) zapcore.Core {
	clone := *r
	clone.Core = r.Core.With(fields)
	return &clone
}

// Check implements zapcore.Core.
func (r *repeats) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if r.Enabled(e.Level) {
		return ce.AddCore(e, r)
	}
	return ce
}

// Write implements zapcore.Core.
func (r *repeats) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.LoggerName == RequestsLogger {
		return r.Core.Write(e, fields)
	}
	heldBack, write := r.shared.count(repeatKey{e.Level, e.LoggerName, e.Message}, r.now(), r.interval)
	if !write {
		return nil
	}
	if heldBack > 0 {
		fields = append(fields, zap.Int("held_back", heldBack))
	}
	return r.Core.Write(e, fields)
}

// count counts a line in. It reports whether the line is written, and how many
// were held back before it.
func (s *repeatState) count(key repeatKey, now time.Time, interval time.Duration) (heldBack int, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.messages[key]
	if c == nil {
		if len(s.messages) >= maxMessages {
			clear(s.messages)
		}
		c = &repeatCount{since: now}
		s.messages[key] = c
	}
	if now.Sub(c.since) >= interval {
		heldBack = c.heldBack
		*c = repeatCount{since: now}
	}
	if c.lines >= burstOf(key.logger) {
		c.heldBack++
		return 0, false
	}
	c.lines++
	return heldBack, true
}

// burstOf is how many lines of one message of a logger an interval takes.
func burstOf(logger string) int {
	if logger == OperatorsLogger || logger == SourceLogger {
		return changesBurst
	}
	return repeatBurst
}
