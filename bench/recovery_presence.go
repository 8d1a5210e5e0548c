package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// The announced states of a server.
const (
	stateServing  = "serving"
	stateDraining = "draining"
)

// measurePresence measures the time from the leave of a server, and from the death of a daemon, until
// no daemon has the server as a candidate for requests.
func (c *recovery) measurePresence(ctx context.Context, r *run) error {
	programs, err := fleet.Build(r.dir)
	if err != nil {
		return err
	}
	for _, size := range c.presenceSizes {
		if err := c.measurePresenceAt(ctx, r, size, programs.Daemon); err != nil {
			return errors.Wrapf(err, "%d daemons", size)
		}
	}
	return nil
}

func (c *recovery) measurePresenceAt(ctx context.Context, r *run, size int, program string) error {
	o, err := r.fleetOptions(size)
	if err != nil {
		return err
	}
	o.External = 1
	f, err := fleet.NewShared(o)
	if err != nil {
		return err
	}
	defer f.Close()
	external, err := f.StartExternal(program)
	if err != nil {
		return err
	}
	defer external.Close()
	// Each server has its own service, so a daemon that does not know the server has no candidates.
	shape := fleet.Shape{Services: size, Routes: size}
	if err := changeEverywhere(ctx, f, shape.Manifest(1), firstVersionTimeout); err != nil {
		return err
	}
	servers := fleet.NewAnnouncer(f, shape.Services, 0)
	defer servers.Close()
	victim := fleet.NewAnnouncer(external, shape.Services, f.Size())
	defer victim.Close()
	return c.measureLeavesAndDeaths(ctx, r, f, servers, external, victim)
}

func (c *recovery) measureLeavesAndDeaths(ctx context.Context, r *run, f *fleet.Shared, servers *fleet.Announcer, external *fleet.Processes, victim *fleet.Announcer) error {
	var leaves, deaths []time.Duration
	for i := range c.repetitions {
		leaving := f.Size() - 1 - i%(f.Size()-f.Sources())
		took, err := c.timeUntilGone(ctx, f, leaving, func() error { return servers.Announce(ctx, leaving, stateDraining) })
		if err != nil {
			return errors.Wrap(err, "server leaves")
		}
		leaves = append(leaves, took...)
		if err := servers.Announce(ctx, leaving, stateServing); err != nil {
			return err
		}
	}
	at := float64(f.Size() + 1)
	r.report.AddDurations("server leaves, until no new work, each daemon", f.Name(), at, leaves)
	for range c.repetitions {
		if err := victim.Announce(ctx, 0, stateServing); err != nil {
			return err
		}
		took, err := c.timeUntilGone(ctx, f, f.Size(), func() error { external.Kill(0); return nil })
		if err != nil {
			return errors.Wrap(err, "daemon dies")
		}
		deaths = append(deaths, took...)
		if err := c.restartExternal(ctx, external, victim); err != nil {
			return err
		}
	}
	r.report.AddDurations("daemon dies, until no new work, each daemon", f.Name(), at, deaths)
	return nil
}

// timeUntilGone waits until every daemon knows the server of a service, calls leave, and returns the
// time that each daemon took to remove the server.
func (c *recovery) timeUntilGone(ctx context.Context, f *fleet.Shared, service int, leave func() error) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	key := snapshot.ServiceKey{Mesh: fleet.MeshName, Name: fleet.ServiceName(service)}
	has := func(member int) bool { return len(f.Daemon(member).Directory().Candidates(key)) > 0 }
	members := fleet.Members(f)
	if left := fleet.WaitEach(ctx, members, has, nil); len(left) > 0 {
		return nil, errors.New("server was not known to every daemon in time")
	}
	begin := time.Now()
	if err := leave(); err != nil {
		return nil, err
	}
	var took []time.Duration
	removed := func(member int) bool { return !has(member) }
	left := fleet.WaitEach(ctx, members, removed, func(_ int, at time.Time) { took = append(took, at.Sub(begin)) })
	if len(left) > 0 {
		return nil, errors.New("server was not removed from every daemon in time")
	}
	return took, nil
}

// restartExternal starts the external daemon again and announces its server.
func (c *recovery) restartExternal(ctx context.Context, external *fleet.Processes, victim *fleet.Announcer) error {
	if err := external.Start(0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	for {
		err := victim.Announce(ctx, 0, stateServing)
		if err == nil {
			return nil
		}
		if !sleep(ctx, retryPause) {
			return errors.Wrap(err, "daemon did not recover in time")
		}
	}
}
