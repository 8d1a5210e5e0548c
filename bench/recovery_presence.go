package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// The states in which a server announces itself.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// measurePresence takes the time from a server's leave, and from a daemon's
// death, until no daemon has the server among those that get work.
func (c *recovery) measurePresence(ctx context.Context, r *run) error {
	programs, err := fleet.Build(r.dir)
	if err != nil {
		return err
	}
	for _, size := range c.presence {
		if err := c.presenceOf(ctx, r, size, programs.Daemon); err != nil {
			return errors.Wrapf(err, "%d daemons", size)
		}
	}
	return nil
}

func (c *recovery) presenceOf(ctx context.Context, r *run, size int, program string) error {
	o, err := r.fleetOptions(size)
	if err != nil {
		return err
	}
	o.Outside = 1
	f, err := fleet.NewShared(o)
	if err != nil {
		return err
	}
	defer f.Close()
	outside, err := f.StartOutside(program)
	if err != nil {
		return err
	}
	defer outside.Close()
	// Each server has a service of its own: whoever lacks the server lacks
	// candidates.
	shape := fleet.Shape{Services: size, Routes: size}
	if err := changeEverywhere(ctx, f, shape.Manifest(1), firstVersionTimeout); err != nil {
		return err
	}
	servers := fleet.NewAnnouncer(f, shape.Services, 0)
	defer servers.Close()
	victim := fleet.NewAnnouncer(outside, shape.Services, f.Size())
	defer victim.Close()
	return c.leaveAndDie(ctx, r, f, servers, outside, victim)
}

func (c *recovery) leaveAndDie(ctx context.Context, r *run, f *fleet.Shared, servers *fleet.Announcer, outside *fleet.Processes, victim *fleet.Announcer) error {
	var leaves, deaths []time.Duration
	for i := range c.times {
		leaver := f.Size() - 1 - i%(f.Size()-f.Sources())
		took, err := c.untilGone(ctx, f, leaver, func() error { return servers.Announce(ctx, leaver, stateDraining) })
		if err != nil {
			return errors.Wrap(err, "server leaves")
		}
		leaves = append(leaves, took...)
		if err := servers.Announce(ctx, leaver, stateServing); err != nil {
			return err
		}
	}
	at := float64(f.Size() + 1)
	r.report.AddDurations("server leaves, until no new work, each daemon", f.Name(), at, leaves)
	for range c.times {
		if err := victim.Announce(ctx, 0, stateServing); err != nil {
			return err
		}
		took, err := c.untilGone(ctx, f, f.Size(), func() error { outside.Kill(0); return nil })
		if err != nil {
			return errors.Wrap(err, "daemon dies")
		}
		deaths = append(deaths, took...)
		if err := c.startAgain(ctx, outside, victim); err != nil {
			return err
		}
	}
	r.report.AddDurations("daemon dies, until no new work, each daemon", f.Name(), at, deaths)
	return nil
}

// untilGone waits until every daemon has the server of a service, does what
// makes it go, and returns how long each daemon took to have it no more.
func (c *recovery) untilGone(ctx context.Context, f *fleet.Shared, service int, leave func() error) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	key := snapshot.ServiceKey{Mesh: fleet.MeshName, Name: fleet.ServiceName(service)}
	has := func(member int) bool { return len(f.Daemon(member).Directory().Candidates(key)) > 0 }
	members := fleet.Members(f)
	if left := fleet.WaitEach(ctx, members, has, nil); len(left) > 0 {
		return nil, errors.New("server not known everywhere in time")
	}
	begin := time.Now()
	if err := leave(); err != nil {
		return nil, err
	}
	var took []time.Duration
	gone := func(member int) bool { return !has(member) }
	left := fleet.WaitEach(ctx, members, gone, func(_ int, at time.Time) { took = append(took, at.Sub(begin)) })
	if len(left) > 0 {
		return nil, errors.New("server still known in time")
	}
	return took, nil
}

// startAgain starts the daemon outside and announces its server.
func (c *recovery) startAgain(ctx context.Context, outside *fleet.Processes, victim *fleet.Announcer) error {
	if err := outside.Start(0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		err := victim.Announce(ctx, 0, stateServing)
		if err == nil {
			return nil
		}
		if !sleep(ctx, askPause) {
			return errors.Wrap(err, "daemon not back in time")
		}
	}
}
