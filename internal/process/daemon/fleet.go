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
	// fleetFullListing is the largest fleet of which every daemon is queried by default.
	fleetFullListing = 64
	// fleetConcurrency is the maximum number of concurrent queries.
	fleetConcurrency = 32
	// fleetTimeout is the timeout of a query to one daemon.
	fleetTimeout = 2 * time.Second
)

// Fleet implements operator.Backend. This daemon queries each listed daemon itself. In a large
// fleet, unless all is set, only a few daemons are listed; the count that the spread tree
// aggregates covers the others.
func (d *Daemon) Fleet(ctx context.Context, all bool) operator.Fleet {
	records := d.mesh.Directory().Records
	fleet := operator.Fleet{Daemons: len(records), InForce: d.mesh.Status().InForce, Complete: true}
	if len(records) > fleetFullListing && !all {
		records = d.selectRecords(records, fleet.InForce.Laggards)
		fleet.Complete = false
	}
	fleet.Nodes = make([]operator.FleetNode, len(records))
	var group errgroup.Group
	group.SetLimit(fleetConcurrency)
	for i, r := range records {
		fleet.Nodes[i] = operator.FleetNode{Node: r.Node.Name, Domain: r.Node.Domain, Servers: fleetServers(r.Servers)}
		group.Go(func() error {
			d.queryStatus(ctx, r.Node.Addr, &fleet.Nodes[i])
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(fleet.Nodes, func(a, b operator.FleetNode) int { return strings.Compare(a.Node, b.Node) })
	return fleet
}

// selectRecords returns the records of the sources, of this daemon and of the laggards, the
// daemons that have not reached the newest version.
func (d *Daemon) selectRecords(records []*presence.Record, laggards []string) []*presence.Record {
	wanted := map[string]bool{d.settings.Node: true}
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

// queryStatus sets node to the status of the daemon with the given peer address. On failure it
// sets only node.Error.
func (d *Daemon) queryStatus(ctx context.Context, addr string, node *operator.FleetNode) {
	status := d.NodeStatus()
	if node.Node != d.settings.Node {
		ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
		defer cancel()
		status = operator.NodeStatus{}
		if err := d.pool.Call(ctx, addr, nodeStatus, Empty{}, &status); err != nil {
			node.Error = err.Error()
			return
		}
	}
	node.Version = status.Mesh.Version
	node.Ready = status.Ready
	node.Stale = status.Mesh.Stale
	node.Links = len(status.Mesh.Links)
	node.Source = status.Source
}

// InForce implements operator.Backend.
func (d *Daemon) InForce(ctx context.Context, mesh string) (operator.InForce, *result.Error) {
	state, err := d.mesh.State(ctx)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.NotReady, "%v", err)
	}
	header, known := state.Mesh(mesh)
	if !known {
		return operator.InForce{}, result.Errorf(result.UnknownResource, "no manifest of mesh %q is in force at daemon %s; known: %s", mesh, d.settings.Node, meshList(state.Meshes()))
	}
	m, err := state.Manifest(mesh)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	text, err := yaml.Marshal(m)
	if err != nil {
		return operator.InForce{}, result.Errorf(result.ManifestInvalid, "%v", err)
	}
	return operator.InForce{Mesh: mesh, Version: header.Version, Fleet: header.FleetVersion, Node: d.settings.Node, Manifest: string(text)}, nil
}

func meshList(meshes []string) string {
	if len(meshes) == 0 {
		return "none"
	}
	return strings.Join(meshes, ", ")
}
