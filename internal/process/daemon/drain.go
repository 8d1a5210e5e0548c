package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/result"
)

// RPC methods for drains.
const (
	nodeDrain       = "Node.Drain"
	nodeDrainStatus = "Node.DrainStatus"
)

// drainState holds the drains that operators ordered for this daemon and its local backend
// servers. A drain lasts until it is undone or the process ends.
type drainState struct {
	mu sync.Mutex
	// all is set while all local backend servers drain.
	all bool
	// servers holds the addresses of the servers that are drained individually.
	servers map[string]bool
	// announced holds the servers as they announced themselves, by address.
	announced map[string]presence.Server
	// origin is the origin service that was last logged.
	origin string
}

// effectiveServers returns the announced servers with the drains applied to their states.
func (d *drainState) effectiveServers() []presence.Server {
	servers := make([]presence.Server, 0, len(d.announced))
	for _, addr := range slices.Sorted(maps.Keys(d.announced)) {
		s := d.announced[addr]
		if d.all || d.servers[addr] {
			s.State = presence.Draining
		}
		servers = append(servers, s)
	}
	return servers
}

// apply executes or undoes a drain.
func (d *drainState) apply(r operator.DrainRequest) {
	switch {
	case r.Server == "" && r.Undo:
		d.all = false
		clear(d.servers)
	case r.Server == "":
		d.all = true
	case r.Undo:
		delete(d.servers, r.Server)
	default:
		d.servers[r.Server] = true
	}
}

func newDrainState() *drainState {
	return &drainState{servers: map[string]bool{}, announced: map[string]presence.Server{}}
}

// setServers replaces the announced local backend servers.
func (d *Daemon) setServers(announced []presence.Server) {
	d.drains.mu.Lock()
	defer d.drains.mu.Unlock()
	d.logServerChanges(announced)
	clear(d.drains.announced)
	d.announcedService.Store(commonService(announced))
	d.logOriginChange()
	for _, s := range announced {
		d.drains.announced[s.Addr] = s
	}
	d.publishServers()
}

// logServerChanges logs added, changed and removed local backend servers. The caller must hold
// d.drains.mu.
func (d *Daemon) logServerChanges(announced []presence.Server) {
	gone := maps.Clone(d.drains.announced)
	for _, s := range announced {
		before, known := gone[s.Addr]
		delete(gone, s.Addr)
		if !known || before.State != s.State || before.Boot != s.Boot || before.Service != s.Service {
			d.log.Info("local backend server", "server", s.Addr, "service", s.Service, "boot", s.Boot, "state", s.State.String(), "slots", s.Slots)
		}
	}
	for addr, s := range gone {
		d.log.Info("local backend server removed", "server", addr, "service", s.Service, "boot", s.Boot, "was", s.State.String())
	}
}

// commonService returns the service that all servers belong to; nil if there are no servers or
// they belong to different services.
func commonService(servers []presence.Server) *string {
	if len(servers) == 0 {
		return nil
	}
	for _, s := range servers {
		if s.Service != servers[0].Service {
			return nil
		}
	}
	return &servers[0].Service
}

// publishServers passes the servers to the gateway and then to the fleet. The gateway comes
// first so that, once the fleet learns of a drain, requests that still arrive are refused as
// not run.
func (d *Daemon) publishServers() {
	servers := d.drains.effectiveServers()
	d.gateway.SetServers(servers)
	d.mesh.SetServers(servers)
}

// Drain implements operator.Backend. It runs at the daemon that the request names.
func (d *Daemon) Drain(ctx context.Context, r operator.DrainRequest) (operator.DrainStatus, *result.Error) {
	return d.routeDrain(ctx, r, nodeDrain, d.drainLocally)
}

// DrainStatus implements operator.Backend.
func (d *Daemon) DrainStatus(ctx context.Context, r operator.DrainRequest) (operator.DrainStatus, *result.Error) {
	return d.routeDrain(ctx, r, nodeDrainStatus, d.drainStatus)
}

// routeDrain calls local if the request is for this daemon, else the RPC method at the daemon
// that it is for.
func (d *Daemon) routeDrain(ctx context.Context, r operator.DrainRequest, method string, local func(operator.DrainRequest) (operator.DrainStatus, *result.Error)) (operator.DrainStatus, *result.Error) {
	node, addr, refused := d.locateDaemon(r)
	if refused != nil {
		return operator.DrainStatus{}, refused
	}
	r.Node = node
	if node == d.settings.Node {
		return local(r)
	}
	var reply DrainReply
	if err := d.pool.Call(ctx, addr, method, r, &reply); err != nil {
		return reply.Status, result.Errorf(result.NodeUnreachable, "daemon %s at %s: %v", node, addr, err)
	}
	return reply.Status, reply.Refused
}

// locateDaemon returns the name and the peer address of the daemon that a drain request is
// for. addr is "" for this daemon.
func (d *Daemon) locateDaemon(r operator.DrainRequest) (node, addr string, refused *result.Error) {
	if r.Node == d.settings.Node || (r.Node == "" && r.Server == "") || (r.Node == "" && d.hasServer(r.Server)) {
		return d.settings.Node, "", nil
	}
	for _, record := range d.mesh.Directory().Records {
		if r.Node == record.Node.Name {
			return record.Node.Name, record.Node.Addr, nil
		}
		if r.Node == "" && slices.ContainsFunc(record.Servers, func(s presence.Server) bool { return s.Addr == r.Server }) {
			return record.Node.Name, record.Node.Addr, nil
		}
	}
	if r.Node != "" {
		return "", "", result.Errorf(result.UnknownResource, "daemon %s is unknown", r.Node)
	}
	return "", "", result.Errorf(result.UnknownResource, "backend server %s is unknown", r.Server)
}

func (d *Daemon) hasServer(addr string) bool {
	d.drains.mu.Lock()
	defer d.drains.mu.Unlock()
	_, announced := d.drains.announced[addr]
	return announced || d.drains.servers[addr]
}

func (d *Daemon) drainLocally(r operator.DrainRequest) (operator.DrainStatus, *result.Error) {
	if r.Server != "" && !d.hasServer(r.Server) {
		return operator.DrainStatus{}, result.Errorf(result.UnknownResource, "backend server %s is not local to daemon %s", r.Server, d.settings.Node)
	}
	d.drains.mu.Lock()
	d.drains.apply(r)
	d.publishServers()
	d.drains.mu.Unlock()
	d.log.Info("drain ordered", "server", r.Server, "undo", r.Undo)
	return d.drainStatus(r)
}

func (d *Daemon) drainStatus(r operator.DrainRequest) (operator.DrainStatus, *result.Error) {
	d.drains.mu.Lock()
	defer d.drains.mu.Unlock()
	status := operator.DrainStatus{Node: d.settings.Node, Draining: d.drains.all}
	for _, s := range d.drains.effectiveServers() {
		if r.Server != "" && s.Addr != r.Server {
			continue
		}
		running := d.gateway.Running(s.Addr)
		status.Running += running
		status.Servers = append(status.Servers, operator.DrainServer{
			Address: s.Addr, Mesh: s.Mesh, Service: s.Service,
			Draining: s.State == presence.Draining, Running: running,
		})
	}
	status.Idle = status.Running == 0
	return status, nil
}

// DrainReply is the RPC reply of Node.Drain and Node.DrainStatus. Refused is nil if Status is
// valid.
type DrainReply struct {
	Status  operator.DrainStatus
	Refused *result.Error
}

// Drain executes a drain at this daemon.
func (s *nodeService) Drain(r operator.DrainRequest, reply *DrainReply) error {
	reply.Status, reply.Refused = s.d.drainLocally(r)
	return nil
}

// DrainStatus returns the state of the drains at this daemon.
func (s *nodeService) DrainStatus(r operator.DrainRequest, reply *DrainReply) error {
	reply.Status, reply.Refused = s.d.drainStatus(r)
	return nil
}
