package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/daemon"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Shared is a fleet of daemons that run in this process. External daemons are not its members.
type Shared struct {
	dir       string
	nodes     []settings.Settings
	members   []*sharedMember
	submitter *submitter
}

// sharedMember is one daemon; current is nil while it is stopped.
type sharedMember struct {
	mu      sync.Mutex
	current atomic.Pointer[daemon.Daemon]
	stop    context.CancelFunc
	done    chan error
	// previous is the usage of the daemon before its restarts.
	previous Usage
}

// NewShared starts a fleet in this process.
func NewShared(o Options) (*Shared, error) {
	nodes, err := layout(o)
	if err != nil {
		return nil, err
	}
	return startShared(o.Dir, nodes, o.External, newSubmitter(nodes))
}

// startShared starts all nodes except the last external ones.
func startShared(dir string, nodes []settings.Settings, external int, submitter *submitter) (*Shared, error) {
	s := &Shared{dir: dir, nodes: nodes, submitter: submitter}
	for range len(nodes) - external {
		s.members = append(s.members, &sharedMember{})
	}
	for i := range s.members {
		if err := s.start(i); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// StartExternal starts the external daemons as processes.
func (s *Shared) StartExternal(program string) (*Processes, error) {
	return startProcesses(program, s.dir, s.nodes[len(s.members):], s.submitter)
}

func (s *Shared) start(i int) error {
	d, err := daemon.NewWithListeners(s.nodes[i], logr.Discard(), takeListeners(s.nodes[i].Listen))
	if err != nil {
		return errors.Wrapf(err, "start %s", s.nodes[i].Node)
	}
	m := s.members[i]
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	m.done = make(chan error, 1)
	go func() { m.done <- d.Run(ctx) }()
	m.current.Store(d)
	return nil
}

func (s *Shared) halt(i int) {
	m := s.members[i]
	d := m.current.Swap(nil)
	if d == nil {
		return
	}
	m.stop()
	<-m.done
	m.previous = m.previous.Add(usageOf(d.NodeStatus()))
}

// Name implements System.
func (s *Shared) Name() string { return "daisygate" }

// Size implements System.
func (s *Shared) Size() int { return len(s.members) }

// Sources implements System.
func (s *Shared) Sources() int { return sourceCount }

// SourceAddrs implements System.
func (s *Shared) SourceAddrs() []string { return sourceAddrs(s.nodes) }

// Submit implements System.
func (s *Shared) Submit(ctx context.Context, m *manifest.Manifest) (uint64, error) {
	return s.submitter.submit(ctx, m)
}

// Daemon returns a member, or nil while it is stopped.
func (s *Shared) Daemon(member int) *daemon.Daemon { return s.members[member].current.Load() }

// Settings implements AnnounceTarget.
func (s *Shared) Settings(member int) settings.Settings { return s.nodes[member] }

// Version implements System.
func (s *Shared) Version(member int) uint64 {
	d := s.Daemon(member)
	if d == nil {
		return 0
	}
	return d.NodeStatus().Mesh.Version
}

// Usage implements System. It must not be called while the member restarts.
func (s *Shared) Usage(member int) Usage {
	u := s.members[member].previous
	if d := s.Daemon(member); d != nil {
		return u.Add(usageOf(d.NodeStatus()))
	}
	return u
}

// Restart implements System, with a planned stop.
func (s *Shared) Restart(member int) error {
	m := s.members[member]
	m.mu.Lock()
	defer m.mu.Unlock()
	s.halt(member)
	return s.start(member)
}

// Close implements System.
func (s *Shared) Close() {
	var wait sync.WaitGroup
	for i := range s.members {
		wait.Go(func() {
			s.members[i].mu.Lock()
			defer s.members[i].mu.Unlock()
			s.halt(i)
		})
	}
	wait.Wait()
}
