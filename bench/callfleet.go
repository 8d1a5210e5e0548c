package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/bench/fleet"
	"github.com/daisygate/daisygate/bench/load"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// The services and paths of the fleet on which calls are measured.
const (
	// serviceLocal has one server, local to localMember; serviceRemote has one server, local to
	// remoteMember; servicePool has one server at each daemon.
	serviceLocal  = "local"
	serviceRemote = "remote"
	servicePool   = "pool"

	pathLocal  = "/local"
	pathRemote = "/remote"
	// pathPool and pathUrgent route to the same service; pathUrgent has the higher priority.
	pathPool   = "/pool"
	pathUrgent = "/urgent"
	// pathOnce routes to serviceRemote and is not repeatable.
	pathOnce = "/once"

	urgentPriority = 0
	// ampleSlots is the number of slots of servers that must not limit the load.
	ampleSlots       = 200
	ampleConnections = 400
	answerTimeout    = 30 * time.Second
)

// callFleet is a fleet of processes with stand-in backend servers.
type callFleet struct {
	processes *fleet.Processes
	// local and remote are the single servers; pool has one server for each daemon.
	local, remote *fleet.Backend
	pool          []*fleet.Backend
	client        *http.Client
}

// localMember returns the daemon that calls are sent to: the last one, which is not a source in
// a fleet of more than four.
func (f *callFleet) localMember() int { return f.processes.Size() - 1 }

// remoteMember returns the daemon local to the server of calls that pass through two daemons.
func (f *callFleet) remoteMember() int { return f.processes.Size() - 2 }

// callManifest returns the manifest of the call fleet.
func callManifest() *manifest.Manifest {
	m := &manifest.Manifest{Mesh: fleet.MeshName, Version: 1}
	for _, name := range []string{serviceLocal, serviceRemote, servicePool} {
		m.Services = append(m.Services, manifest.Service{Name: name, Allow: []string{"127.0.0.0/8"}})
	}
	add := func(path, service string, priority int) {
		m.Routes = append(m.Routes, manifest.Route{
			Name: path[1:], Path: path, Service: service, Timeout: manifest.DefaultTimeout,
			Repeatable: true, Retries: manifest.DefaultRetries, Priority: priority,
		})
	}
	add(pathLocal, serviceLocal, manifest.DefaultPriority)
	add(pathRemote, serviceRemote, manifest.DefaultPriority)
	add(pathPool, servicePool, manifest.DefaultPriority)
	add(pathUrgent, servicePool, urgentPriority)
	add(pathOnce, serviceRemote, manifest.DefaultPriority)
	m.Routes[len(m.Routes)-1].Repeatable = false
	return m
}

// startCallFleet starts size daemons, each with a local pool server with the given slots, and
// waits until every daemon answers.
func startCallFleet(ctx context.Context, r *run, size, slots, connections int) (*callFleet, error) {
	o, err := r.fleetOptions(size)
	if err != nil {
		return nil, err
	}
	programs, err := fleet.Build(r.dir)
	if err != nil {
		return nil, err
	}
	processes, err := fleet.NewProcesses(o, programs.Daemon)
	if err != nil {
		return nil, err
	}
	f := &callFleet{processes: processes, client: load.NewClient()}
	if err := f.startServers(ctx, programs.Backend, slots, connections); err != nil {
		f.close()
		return nil, err
	}
	if !sleep(ctx, r.settle) {
		f.close()
		return nil, context.Cause(ctx)
	}
	return f, nil
}

func (f *callFleet) startServers(ctx context.Context, program string, slots, connections int) error {
	start := func(member int, service string, slots, connections int) (*fleet.Backend, error) {
		return fleet.StartBackend(program, f.settings(member), member, service, slots, connections)
	}
	var err error
	if f.local, err = start(f.localMember(), serviceLocal, ampleSlots, ampleConnections); err != nil {
		return err
	}
	if f.remote, err = start(f.remoteMember(), serviceRemote, ampleSlots, ampleConnections); err != nil {
		return err
	}
	for member := range f.processes.Size() {
		b, err := start(member, servicePool, slots, connections)
		if err != nil {
			return err
		}
		f.pool = append(f.pool, b)
	}
	if err := changeEverywhere(ctx, f.processes, callManifest(), firstVersionTimeout); err != nil {
		return err
	}
	return f.waitServing(ctx)
}

// waitServing waits until every daemon answers on every path.
func (f *callFleet) waitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	for member := range f.processes.Size() {
		for _, path := range []string{pathLocal, pathRemote, pathPool, pathUrgent} {
			for load.Probe(ctx, f.client, f.url(member, path)) != nil {
				if !sleep(ctx, retryPause) {
					return errors.Newf("daemon %d does not answer on %s", member, path)
				}
			}
		}
	}
	return nil
}

const retryPause = 20 * time.Millisecond

func (f *callFleet) settings(member int) settings.Settings { return f.processes.Settings(member) }

// url returns the URL of a path at the caller listener of a daemon.
func (f *callFleet) url(member int, path string) string {
	return "http://" + f.settings(member).Listen.Caller + path
}

// urls returns the URLs of a path at the caller listeners of daemons.
func (f *callFleet) urls(members []int, path string) []string {
	var urls []string
	for _, member := range members {
		urls = append(urls, f.url(member, path))
	}
	return urls
}

// cpuTime returns the CPU time that a daemon has used.
func (f *callFleet) cpuTime(member int) time.Duration {
	used, _ := fleet.CPUTimeOf(f.processes.Pid(member))
	return used
}

// cpuTimes returns the CPU time that each daemon has used.
func (f *callFleet) cpuTimes() []time.Duration {
	times := make([]time.Duration, f.processes.Size())
	for member := range times {
		times[member] = f.cpuTime(member)
	}
	return times
}

func (f *callFleet) close() {
	for _, b := range append([]*fleet.Backend{f.local, f.remote}, f.pool...) {
		if b != nil {
			b.Kill()
		}
	}
	f.processes.Close()
	f.client.CloseIdleConnections()
}
