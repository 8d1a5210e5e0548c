package fleet

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// sampleMember is the member of a Split fleet that is not a source and runs in its own process.
const sampleMember = sourceCount

// Split is a fleet whose sources and one other daemon run in their own processes, so that the usage of
// each role can be measured separately. The other daemons run in this process.
type Split struct {
	processes *Processes
	shared    *Shared
}

// NewSplit starts a fleet. program is run for the daemons with their own process.
func NewSplit(o Options, program string) (*Split, error) {
	nodes, err := layout(o)
	if err != nil {
		return nil, err
	}
	submitter := newSubmitter(nodes)
	processes, err := startProcesses(program, o.Dir, nodes[:sampleMember+1], submitter)
	if err != nil {
		return nil, err
	}
	shared, err := startShared(o.Dir, nodes[sampleMember+1:], 0, submitter)
	if err != nil {
		processes.Close()
		return nil, err
	}
	return &Split{processes: processes, shared: shared}, nil
}

// memberFleet returns the fleet that a member belongs to and its number in that fleet.
func (s *Split) memberFleet(member int) (AnnounceTarget, int) {
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
	owner, member := s.memberFleet(member)
	return owner.Version(member)
}

// Usage implements System.
func (s *Split) Usage(member int) Usage {
	owner, member := s.memberFleet(member)
	return owner.Usage(member)
}

// Restart implements System.
func (s *Split) Restart(member int) error {
	owner, member := s.memberFleet(member)
	return owner.Restart(member)
}

// Settings implements AnnounceTarget.
func (s *Split) Settings(member int) settings.Settings {
	owner, member := s.memberFleet(member)
	return owner.Settings(member)
}

// Shared returns the daemons that run in this process.
func (s *Split) Shared() *Shared { return s.shared }

// Roles lists the members of each role.
type Roles struct {
	Leader    int
	Followers []int
	// Sample is the daemon in its own process that is not a source.
	Sample int
	// Daemons are all members that are not sources.
	Daemons []int
}

// Roles queries the sources to find the leader.
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
		return roles, errors.New("no source is leader")
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

// Pid returns the process ID of a source or of the sample.
func (s *Split) Pid(member int) int { return s.processes.Pid(member) }

// Close implements System.
func (s *Split) Close() {
	s.shared.Close()
	s.processes.Close()
}
