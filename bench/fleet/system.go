// Package fleet runs fleets to be measured: daemons that share this process,
// or a real process each, on loopback with ports chosen by the system and with
// the sources' files in real data folders.
package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// Usage is what one member has used since it began.
type Usage struct {
	// Sent and Received are control bytes.
	Sent, Received uint64
	// Messages are the control messages sent.
	Messages uint64
}

// Plus returns the sum of two usages.
func (u Usage) Plus(o Usage) Usage {
	return Usage{Sent: u.Sent + o.Sent, Received: u.Received + o.Received, Messages: u.Messages + o.Messages}
}

// usageOf reads a usage from a daemon's status.
func usageOf(s operator.NodeStatus) Usage {
	return Usage{Sent: s.ControlSent, Received: s.ControlReceived, Messages: s.ControlMessages}
}

// System is a fleet under measurement: daisygate, or a baseline.
type System interface {
	// Name is the system's name in reports.
	Name() string
	// Size is the number of members.
	Size() int
	// Sources is how many of the members, the first ones, take in changes.
	Sources() int
	// SourceAddrs are the sources' addresses for control connections.
	SourceAddrs() []string
	// Submit hands in a manifest and returns once it is accepted, with the
	// version that members report when it is in force.
	Submit(ctx context.Context, m *manifest.Manifest) (uint64, error)
	// Version is the version in force on a member, 0 while it is down.
	Version(member int) uint64
	// Usage is what a member has used.
	Usage(member int) Usage
	// Restart stops a member, if it still runs, and starts it again with its
	// addresses and files; it returns once the member has begun to run.
	Restart(member int) error
	// Close stops all members.
	Close()
}

// pollEvery is how often WaitEach looks.
const pollEvery = time.Millisecond

// Members returns the numbers of all members.
func Members(s System) []int {
	members := make([]int, s.Size())
	for i := range members {
		members[i] = i
	}
	return members
}

// WaitVersion waits until the given members have a version or ctx ends, and
// returns those that still lack it. seen is as for WaitEach.
func WaitVersion(ctx context.Context, s System, members []int, version uint64, seen func(member int, at time.Time)) []int {
	return WaitEach(ctx, members, func(member int) bool { return s.Version(member) >= version }, seen)
}

// WaitEach waits until a condition held once for each of the given members or
// ctx ends, and returns those for which it did not. seen, if not nil, is called
// once for each other member with the time at which it was found to hold.
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
		case <-time.After(pollEvery):
		}
	}
}
