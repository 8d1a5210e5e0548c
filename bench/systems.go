package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/bench/baseline"
	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const (
	// firstVersionTimeout bounds the time from the start of a fleet until its first manifest is in force
	// everywhere.
	firstVersionTimeout = time.Minute
	minDomains          = 3
	maxDomains          = 16
	daemonsPerDomain    = 4
)

// starter starts one kind of system.
type starter func(r *run, size int) (fleet.System, error)

// domainCount returns three failure domains for a small fleet, and for a large one up to the number
// that the design supports.
func domainCount(size int) int {
	return min(max(minDomains, size/daemonsPerDomain), maxDomains)
}

func (r *run) fleetOptions(size int) (fleet.Options, error) {
	dir, err := r.tempDir()
	return fleet.Options{Size: size, Domains: domainCount(size), Dir: dir}, err
}

func startShared(r *run, size int) (fleet.System, error) {
	o, err := r.fleetOptions(size)
	if err != nil {
		return nil, err
	}
	return fleet.NewShared(o)
}

func startProcesses(r *run, size int) (fleet.System, error) {
	o, err := r.fleetOptions(size)
	if err != nil {
		return nil, err
	}
	programs, err := fleet.Build(o.Dir)
	if err != nil {
		return nil, err
	}
	return fleet.NewProcesses(o, programs.Daemon)
}

func startBaseline(mode baseline.Mode) starter {
	return func(_ *run, size int) (fleet.System, error) { return baseline.New(mode, size) }
}

// withSystem starts a system, puts the first manifest in force on all members, announces a backend
// server at each daemon, waits for a daisygate fleet to settle, and calls f.
func (r *run) withSystem(ctx context.Context, start starter, size int, shape fleet.Shape, f func(fleet.System) error) error {
	system, err := start(r, size)
	if err != nil {
		return err
	}
	defer system.Close()
	if err := changeEverywhere(ctx, system, shape.Manifest(1), firstVersionTimeout); err != nil {
		return err
	}
	if announced, ok := system.(fleet.AnnounceTarget); ok {
		announcer := fleet.NewAnnouncer(announced, shape.Services, 0)
		defer announcer.Close()
		if !sleep(ctx, r.settle) {
			return context.Cause(ctx)
		}
	}
	return f(system)
}

// changeEverywhere submits a manifest and waits until it is in force on every member.
func changeEverywhere(ctx context.Context, s fleet.System, m *manifest.Manifest, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	version, err := s.Submit(ctx, m)
	if err != nil {
		return errors.Wrapf(err, "submit version %d to %s", m.Version, s.Name())
	}
	left := fleet.WaitVersion(ctx, s, fleet.Members(s), version, nil)
	if len(left) > 0 {
		return errors.Newf("%s: version %d not in force in time on %d of %d", s.Name(), m.Version, len(left), s.Size())
	}
	return nil
}
