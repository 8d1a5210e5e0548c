package source

import (
	"context"
	"time"

	"github.com/daisygate/daisygate/internal/process/leaves"
	"github.com/daisygate/daisygate/internal/result"
)

// leaveEntry is the payload of a formatLeave entry.
type leaveEntry struct {
	// Node is the name of the daemon that acknowledges the leave.
	Node  string       `cbor:"1,keyasint"`
	Leave leaves.Leave `cbor:"2,keyasint"`
}

// RetainLeave retains the leave of a backend server beside the named daemon, and waits for the
// commit until ctx is done. It is idempotent.
func (s *Source) RetainLeave(ctx context.Context, node string, l leaves.Leave) (Answer, error) {
	return s.propose(ctx, Command{Format: formatLeave, Submitted: time.Now().UTC(), Leave: &leaveEntry{Node: node, Leave: l}})
}

// Leaves returns the leaves retained for a daemon, as far as this source has applied the log.
func (s *Source) Leaves(ctx context.Context, node string) (retained []leaves.Leave, err error) {
	err = s.group.Query(ctx, func() { retained = s.machine.leaves.Of(node) })
	return retained, err
}

func (m *stateMachine) applyLeave(e *leaveEntry, submitted time.Time) Answer {
	m.leaves.Add(submitted.UnixMilli(), e.Node, e.Leave)
	return Answer{Code: result.Accepted, Fleet: m.state.Version}
}
