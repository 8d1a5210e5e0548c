package telemetry

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// RequestsLogger is the name of the logger whose lines are never suppressed here: they are
// about individual requests and rate-limited by the code that writes them.
const RequestsLogger = "requests"

// OperatorsLogger and SourceLogger are the names of the loggers for the requests of
// operators and the versions accepted by the sources. Readers of the log search them for
// individual versions, so they have the higher limit changesBurst.
const (
	OperatorsLogger = "operators"
	SourceLogger    = "source"
)

const (
	// repeatBurst is the number of lines with the same message written per interval.
	repeatBurst = 10
	// changesBurst replaces repeatBurst for OperatorsLogger and SourceLogger. It allows
	// ten changes per second over the default interval, three times the rate of a
	// pipeline that submits changes without a pause, and 30 KB of log.
	changesBurst = 100
	// maxMessages bounds the number of messages tracked. Messages are constants in the
	// code, so there are fewer.
	maxMessages = 1024
)

// rateLimiter is a zapcore.Core that writes the same message of the same logger at most
// repeatBurst times per interval. The first line in the next interval reports how many were
// suppressed, a number that zap's own sampler does not keep.
type rateLimiter struct {
	zapcore.Core
	interval time.Duration
	now      func() time.Time
	shared   *messageCounts
}

type messageCounts struct {
	mu       sync.Mutex
	messages map[messageKey]*messageCount
}

type messageKey struct {
	level           zapcore.Level
	logger, message string
}

type messageCount struct {
	start      time.Time
	lines      int
	suppressed int
}

func newRateLimiter(core zapcore.Core, interval time.Duration, now func() time.Time) *rateLimiter {
	return &rateLimiter{Core: core, interval: interval, now: now, shared: &messageCounts{messages: map[messageKey]*messageCount{}}}
}

// With implements zapcore.Core.
func (l *rateLimiter) With(fields []zapcore.Field) zapcore.Core {
	clone := *l
	clone.Core = l.Core.With(fields)
	return &clone
}

// Check implements zapcore.Core.
func (l *rateLimiter) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if l.Enabled(e.Level) {
		return ce.AddCore(e, l)
	}
	return ce
}

// Write implements zapcore.Core.
func (l *rateLimiter) Write(e zapcore.Entry, fields []zapcore.Field) error {
	if e.LoggerName == RequestsLogger {
		return l.Core.Write(e, fields)
	}
	suppressed, write := l.shared.count(messageKey{e.Level, e.LoggerName, e.Message}, l.now(), l.interval)
	if !write {
		return nil
	}
	if suppressed > 0 {
		fields = append(fields, zap.Int("held_back", suppressed))
	}
	return l.Core.Write(e, fields)
}

// count counts a line. It reports whether the line must be written and how many were
// suppressed before it.
func (s *messageCounts) count(key messageKey, now time.Time, interval time.Duration) (suppressed int, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.messages[key]
	if c == nil {
		if len(s.messages) >= maxMessages {
			clear(s.messages)
		}
		c = &messageCount{start: now}
		s.messages[key] = c
	}
	if now.Sub(c.start) >= interval {
		suppressed = c.suppressed
		*c = messageCount{start: now}
	}
	if c.lines >= burstOf(key.logger) {
		c.suppressed++
		return 0, false
	}
	c.lines++
	return suppressed, true
}

// burstOf returns the number of lines with the same message that a logger may write per
// interval.
func burstOf(logger string) int {
	if logger == OperatorsLogger || logger == SourceLogger {
		return changesBurst
	}
	return repeatBurst
}
