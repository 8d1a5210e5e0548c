package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// sampleMember is the member of a Split fleet that is no source and yet a
// process of its own.
const sampleMember = sourceCount

// Split is a fleet whose sources, and one daemon besides, are processes of
// their own, so that what each role uses can be told apart; the other daemons
// share this process.
type Split struct {
	processes *Processes
	shared    *Shared
}

// NewSplit starts a fleet; program runs the daemons of their own.
func NewSplit(o Options, program string) (*Split, error) {
	nodes, err := layout(o)
	if err != nil {
		return nil, err
	}
	operators := newOperators(nodes)
	processes, err := startProcesses(program, o.Dir, nodes[:sampleMember+1], operators)
	if err != nil {
		return nil, err
	}
	shared, err := startShared(o.Dir, nodes[sampleMember+1:], 0, operators)
	if err != nil {
		processes.Close()
		return nil, err
	}
	return &Split{processes: processes, shared: shared}, nil
}

// part returns the fleet that a member belongs to, and its number there.
func (s *Split) part(member int) (Announced, int) {
	if member < s.processes.Size() {
		return s.processes, member
	}
	return s.shared, member - s.processes.Size()
}

// Name implements System.
func (s *Split) Name() string { return s.shared.Name() }

// Size implements System.
func (s *Split) Size() int { return s.processes.Size() + s.shared.Size() }

// Sources implements System.
func (s *Split) Sources() int { return sourceCount }

// SourceAddrs implements System.
func (s *Split) SourceAddrs() []string { return s.processes.SourceAddrs() }

// Submit implements System.
func (s *Split) Submit(ctx context.Context, m *manifest.Manifest) (uint64, error) {
	return s.processes.Submit(ctx, m)
}

// Version implements System.
func (s *Split) Version(member int) uint64 {
	part, member := s.part(member)
	return part.Version(member)
}

// Usage implements System.
func (s *Split) Usage(member int) Usage {
	part, member := s.part(member)
	return part.Usage(member)
}

// Restart implements System.
func (s *Split) Restart(member int) error {
	part, member := s.part(member)
	return part.Restart(member)
}

// Settings implements Announced.
func (s *Split) Settings(member int) settings.Settings {
	part, member := s.part(member)
	return part.Settings(member)
}

// Shared returns the daemons that share this process.
func (s *Split) Shared() *Shared { return s.shared }

// Roles are the members by role.
type Roles struct {
	Leader    int
	Followers []int
	// Sample is the daemon, no source, in a process of its own.
	Sample int
	// Daemons are all that are no sources.
	Daemons []int
}

// Roles asks the sources which of them leads.
func (s *Split) Roles() (Roles, error) {
	roles := Roles{Leader: -1, Sample: sampleMember}
	for member := range sourceCount {
		status, err := s.processes.Status(member)
		if err != nil {
			return roles, err
		}
		if status.Source != nil && status.Source.Role == replica.Leader.String() {
			roles.Leader = member
		}
	}
	if roles.Leader < 0 {
		return roles, errors.New("no source leads")
	}
	for _, member := range Members(s) {
		if member >= sourceCount {
			roles.Daemons = append(roles.Daemons, member)
		} else if member != roles.Leader {
			roles.Followers = append(roles.Followers, member)
		}
	}
	return roles, nil
}

// Pid is the process id of a source or the sample.
func (s *Split) Pid(member int) int { return s.processes.Pid(member) }

// Close implements System.
func (s *Split) Close() {
	s.shared.Close()
	s.processes.Close()
}
