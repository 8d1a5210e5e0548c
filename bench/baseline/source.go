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
	// holdTimeout bounds how long a streaming proxy's request is kept open.
	holdTimeout = 30 * time.Second
)

// Request carries the version that a proxy has.
type Request struct {
	Version uint64
}

// Response carries an encoded delta or snapshot; it is empty if nothing is new.
type Response struct {
	Delta []byte
}

// source holds the newest state with its encoded snapshot and the encoded delta that led to it.
type source struct {
	mu      sync.Mutex
	current *fleet.State
	// snapshot and delta are the encoded newest state and the encoded last change, deltaBase the version
	// that delta applies to.
	snapshot, delta []byte
	deltaBase       uint64
	changed         chan struct{}
	closed          bool
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
		return 0, errors.Wrap(err, "accept manifest")
	}
	if s.snapshot, err = next.Snapshot().Encode(); err != nil {
		return 0, err
	}
	if s.delta, err = fleet.Diff(s.current, next).Encode(); err != nil {
		return 0, err
	}
	s.deltaBase = s.current.Version
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	return next.Version, nil
}

// encodedSince returns a snapshot or delta that leads from version to the newest state, or nil if
// nothing is new, and a channel that is closed at the next change.
func (s *source) encodedSince(version uint64, full bool) ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed || version == s.current.Version:
		return nil, s.changed
	case !full && version == s.deltaBase && len(s.delta) < len(s.snapshot):
		return s.delta, s.changed
	}
	return s.snapshot, s.changed
}

// close answers every open request.
func (s *source) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// service is the RPC service of the source.
type service struct{ source *source }

// Poll answers at once, with the whole state if the proxy does not have it.
func (s *service) Poll(request Request, response *Response) error {
	response.Delta, _ = s.source.encodedSince(request.Version, true)
	return nil
}

// Next answers as soon as there is a version that the proxy does not have.
func (s *service) Next(request Request, response *Response) error {
	var changed <-chan struct{}
	response.Delta, changed = s.source.encodedSince(request.Version, false)
	if response.Delta != nil {
		return nil
	}
	select {
	case <-changed:
		response.Delta, _ = s.source.encodedSince(request.Version, false)
	case <-time.After(holdTimeout):
	}
	return nil
}
