package daemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// fleetListed is the most daemons that are all asked for a listing.
	fleetListed = 64
	// fleetConcurrency bounds how many daemons are asked at a time.
	fleetConcurrency = 32
	// fleetTimeout bounds the wait for one daemon's answer.
	fleetTimeout = 2 * time.Second
)

// Fleet implements operator.Backend. The daemons listed are asked one by one,
// at the cost of the daemon that the operator asked; in a large fleet, unless
// all is set, these are a few, and the count of the spread's tree stands for the
// others.
func (d *Daemon) Fleet(ctx context.Context, all bool) operator.Fleet {
	records := d.mesh.Directory().Records
	fleet := operator.Fleet{Daemons: len(records), InForce: d.mesh.Status().InForce, Complete: true}
	if len(records) > fleetListed && !all {
		records = d.notable(records, fleet.InForce.Laggards)
		fleet.Complete = false
	}
	fleet.Nodes = make([]operator.FleetNode, len(records))
	var group errgroup.Group
	group.SetLimit(fleetConcurrency)
	for i, r := range records {
		fleet.Nodes[i] = operator.FleetNode{Node: r.Node.Name, Domain: r.Node.Domain, Servers: fleetServers(r.Servers)}
		group.Go(func() error {
			d.askStatus(ctx, r.Node.Addr, &fleet.Nodes[i])
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(fleet.Nodes, func(a, b operator.FleetNode) int { return strings.Compare(a.Node, b.Node) })
	return fleet
}

// notable are the records of the sources, of this daemon and of the laggards.
func (d *Daemon) notable(records []*presence.Record, laggards []string) []*presence.Record {
	wanted := map[string]bool{d.set.Node: true}
	for _, member := range d.sources() {
		wanted[member.Node] = true
	}
	for _, name := range laggards {
		wanted[name] = true
	}
	var list []*presence.Record
	for _, r := range records {
		if wanted[r.Node.Name] {
			list = append(list, r)
		}
	}
	return list
}

func fleetServers(servers []presence.Server) []operator.FleetServer {
	var list []operator.FleetServer
	for _, s := range servers {
		list = append(list, operator.FleetServer{
			Mesh: s.Mesh, Service: s.Service, Address: s.Addr,
			Slots: s.Slots, Connections: s.Connections, State: s.State.String(),
		})
	}
	return list
}

func (d *Daemon) askStatus(ctx context.Context, addr string, into *operator.FleetNode) {
	status := d.NodeStatus()
	if into.Node != d.set.Node {
		ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		status = operator.NodeStatus{}
		if err := d.pool.Call(ctx, addr, nodeStatus, Empty{}, &status); err != nil {
			into.Error = err.Error()
			return
		}
	}
	into.Version = status.Mesh.Version
	into.Ready = status.Ready
	into.Stale = status.Mesh.Stale
	into.Links = len(status.Mesh.Links)
	into.Source = status.Source
}

// InForce implements operator.Backend.
func (d *Daemon) InForce(ctx context.Context, mesh string) (operator.InForce, *result.Error) {
	state, err := d.mesh.State(ctx)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.NotReady, "%v", err)
	}
	header, known := state.Mesh(mesh)
	if !known {
		return operator.InForce{}, result.Errorf(result.UnknownResource, "no manifest of mesh %q is in force at daemon %s; known: %s", mesh, d.set.Node, meshList(state.Meshes()))
	}
	m, err := state.Manifest(mesh)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	text, err := yaml.Marshal(m)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	return operator.InForce{Mesh: mesh, Version: header.Version, Fleet: header.Fleet, Node: d.set.Node, Manifest: string(text)}, nil
}

func meshList(meshes []string) string {
	if len(meshes) == 0 {
		return "none"
	}
	return strings.Join(meshes, ", ")
}
