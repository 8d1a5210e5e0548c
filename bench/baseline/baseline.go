// Package baseline implements the two distribution methods that daisygate is compared with: every
// proxy polls the whole state from a single source, or every proxy streams changes from that
// source. Both use the control connections of daisygate (net/rpc) and count their bytes in the
// same way, and put a version in force in the same way.
package baseline

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Mode is a distribution method.
type Mode string

// The two baselines.
const (
	// Poll requests the whole state every PollInterval. The answer is empty if the state is unchanged.
	Poll Mode = "poll"
	// Stream keeps a request open at the source, which answers with a delta as soon as there is one.
	Stream Mode = "stream"
)

// PollInterval is the interval between two requests of a polling proxy.
const PollInterval = time.Second

// System is a source and its proxies. Member 0 is the source itself.
type System struct {
	mode     Mode
	source   *source
	listener net.Listener
	server   *http.Server
	traffic  peer.Traffic
	proxies  []*proxySlot
}

// proxySlot is one proxy across its restarts.
type proxySlot struct {
	mu      sync.Mutex
	current atomic.Pointer[proxy]
	stop    context.CancelFunc
	done    chan struct{}
	traffic peer.Traffic
}

// New starts a source and size-1 proxies.
func New(mode Mode, size int) (*System, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &System{mode: mode, source: newSource(), listener: listener}
	control := rpc.NewServer()
	if err := control.RegisterName(serviceName, &service{s.source}); err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	s.server = &http.Server{Handler: peer.Handler(control, http.NotFoundHandler(), &s.traffic)}
	go func() { _ = s.server.Serve(listener) }()
	for range size - 1 {
		slot := &proxySlot{}
		s.proxies = append(s.proxies, slot)
		s.start(slot)
	}
	return s, nil
}

func (s *System) start(slot *proxySlot) {
	ctx, stop := context.WithCancel(context.Background())
	p := newProxy(s.listener.Addr().String(), &slot.traffic)
	slot.stop = stop
	slot.done = make(chan struct{})
	slot.current.Store(p)
	go func() {
		defer close(slot.done)
		p.run(ctx, s.mode)
	}()
}

func (slot *proxySlot) stopProxy() {
	if slot.current.Swap(nil) == nil {
		return
	}
	slot.stop()
	<-slot.done
}

// Name implements fleet.System.
func (s *System) Name() string { return string(s.mode) }

// Size implements fleet.System.
func (s *System) Size() int { return len(s.proxies) + 1 }

// Sources implements fleet.System.
func (s *System) Sources() int { return 1 }

// Submit implements fleet.System.
func (s *System) Submit(_ context.Context, m *manifest.Manifest) (uint64, error) {
	return s.source.accept(m)
}

// Version implements fleet.System.
func (s *System) Version(member int) uint64 {
	if member == 0 {
		return s.source.state().Version
	}
	p := s.proxies[member-1].current.Load()
	if p == nil {
		return 0
	}
	return p.version()
}

// Usage implements fleet.System.
func (s *System) Usage(member int) fleet.Usage {
	traffic := &s.traffic
	if member > 0 {
		traffic = &s.proxies[member-1].traffic
	}
	return fleet.Usage{Sent: traffic.Sent.Load(), Received: traffic.Received.Load(), Messages: traffic.Messages.Load()}
}

// Restart implements fleet.System. It does not restart the source.
func (s *System) Restart(member int) error {
	if member == 0 {
		return nil
	}
	slot := s.proxies[member-1]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.stopProxy()
	s.start(slot)
	return nil
}

// SourceAddrs implements fleet.System.
func (s *System) SourceAddrs() []string { return []string{s.listener.Addr().String()} }

// Close implements fleet.System.
func (s *System) Close() {
	s.source.close()
	for _, slot := range s.proxies {
		slot.mu.Lock()
		slot.stopProxy()
		slot.mu.Unlock()
	}
	_ = s.server.Close()
}
