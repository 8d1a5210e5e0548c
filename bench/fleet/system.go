// Package fleet runs fleets for measurements. Daemons run in this process or in processes of their
// own, on loopback with ports chosen by the system, and the sources use real data folders.
package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Usage is what one member has used since its start.
type Usage struct {
	// Sent and Received are control bytes.
	Sent, Received uint64
	// Messages is the number of control messages sent.
	Messages uint64
}

// Add returns the sum of two usages.
func (u Usage) Add(o Usage) Usage {
	return Usage{Sent: u.Sent + o.Sent, Received: u.Received + o.Received, Messages: u.Messages + o.Messages}
}

// usageOf returns the usage reported by a daemon's status.
func usageOf(s operator.NodeStatus) Usage {
	return Usage{Sent: s.ControlSent, Received: s.ControlReceived, Messages: s.ControlMessages}
}

// System is a fleet under measurement: daisygate or a baseline.
type System interface {
	// Name returns the name of the system in reports.
	Name() string
	// Size returns the number of members.
	Size() int
	// Sources returns the number of members that accept changes. These are the first members.
	Sources() int
	// SourceAddrs returns the control addresses of the sources.
	SourceAddrs() []string
	// Submit submits a manifest and returns when it is accepted, with the version that members report
	// when it is in force.
	Submit(ctx context.Context, m *manifest.Manifest) (uint64, error)
	// Version returns the version in force on a member, or 0 while it is stopped.
	Version(member int) uint64
	// Usage returns what a member has used.
	Usage(member int) Usage
	// Restart stops a member, if it is running, and starts it again with the same addresses and files. It
	// returns when the member has started.
	Restart(member int) error
	// Close stops all members.
	Close()
}

// pollInterval is the interval at which WaitEach checks its condition.
const pollInterval = time.Millisecond

// Members returns the numbers of all members.
func Members(s System) []int {
	members := make([]int, s.Size())
	for i := range members {
		members[i] = i
	}
	return members
}

// WaitVersion waits until the given members have a version or ctx ends, and returns the members that do
// not have it. seen is as for WaitEach.
func WaitVersion(ctx context.Context, s System, members []int, version uint64, seen func(member int, at time.Time)) []int {
	return WaitEach(ctx, members, func(member int) bool { return s.Version(member) >= version }, seen)
}

// WaitEach waits until condition has been true once for each of the given members or ctx ends, and
// returns the members for which it was not. If seen is not nil, it is called once for each other
// member with the time at which condition was found true.
func WaitEach(ctx context.Context, members []int, condition func(member int) bool, seen func(member int, at time.Time)) []int {
	waiting := slices.Clone(members)
	for {
		left := waiting[:0]
		for _, member := range waiting {
			if !condition(member) {
				left = append(left, member)
				continue
			}
			if seen != nil {
				seen(member, time.Now())
			}
		}
		waiting = left
		if len(waiting) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return waiting
		case <-time.After(pollInterval):
		}
	}
}
