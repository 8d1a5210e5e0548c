package baseline

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	serviceName = "Baseline"
	pollMethod  = serviceName + ".Poll"
	nextMethod  = serviceName + ".Next"
	// holdFor bounds how long a streaming proxy's request is held open.
	holdFor = 30 * time.Second
)

// Ask says which version a proxy has.
type Ask struct {
	Version uint64
}

// Answer brings an encoded delta or snapshot; none if nothing is new.
type Answer struct {
	Delta []byte
}

// source holds the newest state and the one before it, both encoded once.
type source struct {
	mu      sync.Mutex
	current *fleet.State
	// whole and last are the encoded snapshot and the delta that led here.
	whole, last []byte
	lastFrom    uint64
	changed     chan struct{}
	closed      bool
}

func newSource() *source {
	return &source{current: fleet.Empty(), changed: make(chan struct{})}
}

func (s *source) state() *fleet.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *source) accept(m *manifest.Manifest) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.current.Accept(m)
	if err != nil {
		return 0, errors.Wrap(err, "accept")
	}
	if s.whole, err = next.Snapshot().Encode(); err != nil {
		return 0, err
	}
	if s.last, err = fleet.Diff(s.current, next).Encode(); err != nil {
		return 0, err
	}
	s.lastFrom = s.current.Version
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return next.Version, nil
}

// answerTo returns what leads from version to the newest state, whole or as a
// delta, nil if nothing is new, and a channel that closes at the next change.
func (s *source) answerTo(version uint64, whole bool) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || version == s.current.Version:
		return nil, s.changed
	case !whole && version == s.lastFrom && len(s.last) < len(s.whole):
		return s.last, s.changed
	}
	return s.whole, s.changed
}

// close answers every request that is held open.
func (s *source) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// service is the source's RPC side.
type service struct{ source *source }

// Poll answers at once, with the whole state if it is new to the asker.
func (s *service) Poll(ask Ask, answer *Answer) error {
	answer.Delta, _ = s.source.answerTo(ask.Version, true)
	return nil
}

// Next answers as soon as something is new to the asker.
func (s *service) Next(ask Ask, answer *Answer) error {
	var changed <-chan struct{}
	answer.Delta, changed = s.source.answerTo(ask.Version, false)
	if answer.Delta != nil {
		return nil
	}
	select {
	case <-changed:
		answer.Delta, _ = s.source.answerTo(ask.Version, false)
	case <-time.After(holdFor):
	}
	return nil
}
